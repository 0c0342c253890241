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
		choice = s.pickDecode(h.Target.DataCentre)
	}
	if choice.Target == nil {
		return &outcomeError{s.noTarget()}
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

// pickDecode returns the engine for a decode from KV cache in a data centre.
func (s *stream) pickDecode(source types.DataCentreID) placement.Choice {
	return s.pickTarget(placement.GeneratesTokens{}, s.decodeScorer(source))
}

// reservedDecode returns the engine for which a time is reserved, if it is still available.
func (s *stream) reservedDecode() placement.Choice {
	t := s.reserved.target
	if t == nil {
		return placement.Choice{}
	}
	return placement.Pick([]*directory.Target{t}, s.placementRequest(), placement.GeneratesTokens{}, s.decodeScorer(s.handle.Target.DataCentre))
}
