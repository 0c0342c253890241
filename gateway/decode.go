package gateway

import (
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

// decode runs the request from the KV cache of the prefill.
func (s *stream) decode() error {
	h := s.handle
	choice := s.reservedDecode()
	if choice.Target == nil {
		choice = s.pickDecode(h.Target)
	}
	if choice.Target == nil {
		// Engines of other versions may be left, for which the KV cache is of no use.
		s.release()
		return s.runCombined(placement.GeneratesTokens{}, s.combinedScorer())
	}
	c := s.newCall(choice.Target, StageDecode)
	c.KVSource = h
	err := s.run(choice, c)
	if err == nil || !classify(err).notSent {
		s.handle = Handle{}
	}
	if err == nil {
		// The engine has cached the parts that it fetched.
		s.recordPrefill(choice.Target, choice.UncachedTokens+s.r.Prompt.MaxOutputTokens)
	}
	return err
}

func (s *stream) decodeScorer(source types.DataCentreID) placement.DecodeScorer {
	return placement.DecodeScorer{Costs: s.costs(), Speed: s.speed(), Engine: *s.service.Engine, Link: s.kvLink(), SourceDataCentre: source}
}

// decodesFrom accepts the available engines that can use the KV cache of another engine: they
// run the same software version.
func decodesFrom(source *directory.Target) placement.OfVersion {
	return placement.OfVersion{Version: source.Version, Filter: placement.GeneratesTokens{}}
}

// pickDecode returns the engine for a decode from the KV cache of an engine.
func (s *stream) pickDecode(source *directory.Target) placement.Choice {
	return s.pickTarget(decodesFrom(source), s.decodeScorer(source.DataCentre))
}

// reservedDecode returns the engine for which a time is reserved, if it is still available.
func (s *stream) reservedDecode() placement.Choice {
	t := s.reserved.target
	if t == nil {
		return placement.Choice{}
	}
	return placement.Pick([]*directory.Target{t}, s.placementRequest(), decodesFrom(s.handle.Target), s.decodeScorer(s.handle.Target.DataCentre))
}
