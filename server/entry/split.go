package entry

import (
	"github.com/lentilpick/lentilpick/routing"
)

// dispatchSplit prefills the prompt on one engine and generates on another,
// which imports the KV cache from the first. The KV cache never passes through
// this daemon. When the prefill fails or its KV cache cannot be imported, the
// second engine serves the request whole.
func (x *exchange) dispatchSplit(prefill, t *routing.Target) error {
	if err := x.prefillFor(t, prefill); err != nil {
		x.daemon.failed(prefill, x.request.ID, err)
		x.daemon.counters.retried(classify(err).retry)
		return x.generate(t, "", x.prediction.PrefillTokens)
	}
	err := x.generate(t, prefill.Address, 0)
	if !isKVMissing(err) {
		return err
	}
	x.daemon.counters.retried(classify(err).retry)
	return x.generate(t, "", x.prediction.PrefillTokens)
}

// prefillFor prefills on one engine and counts the stream on the other one
// meanwhile, so that no other request takes its place there.
func (x *exchange) prefillFor(t, prefill *routing.Target) error {
	t.Counters.Decoding.Add(1)
	t.Counters.InFlight.Add(1)
	defer t.Counters.InFlight.Add(-1)
	defer t.Counters.Decoding.Add(-1)
	return x.prefillOn(prefill)
}

// prefillOn computes the KV cache of the prompt on an engine, which keeps it
// for export. The answer is an end marker without tokens.
func (x *exchange) prefillOn(t *routing.Target) error {
	load := startLoad(t, x.prediction)
	defer load.end()
	g := x.body("")
	g.PrefillOnly = true
	s, err := x.open(t, g)
	if err != nil {
		return err
	}
	for {
		e, err := s.Next()
		if err != nil {
			s.Close()
			return err
		}
		if e.Done {
			s.Finish()
			t.Counters.Failures.Store(0)
			return nil
		}
	}
}
