package entry

import (
	"github.com/lentilpick/lentilpick/routing"
)

// dispatchSplit prefills the prompt on one engine and decodes on another, which imports the KV cache
// directly from the first; the KV cache never passes through this daemon. If the prefill or the
// import fails, the second engine serves the combined request.
func (x *exchange) dispatchSplit(prefill, t *routing.Target) error {
	if err := x.prefillWithReservation(t, prefill); err != nil {
		x.daemon.recordFailure(prefill, x.request.ID, err)
		x.daemon.counters.recordRetry(classify(err).retry)
		return x.generate(t, "", x.prediction.PrefillTokens)
	}
	err := x.generate(t, prefill.Address, 0)
	if !isKVCacheMissing(err) {
		return err
	}
	x.daemon.counters.recordRetry(classify(err).retry)
	return x.generate(t, "", x.prediction.PrefillTokens)
}

// prefillWithReservation runs the prefill on one engine. Meanwhile it counts the stream in the load
// of the decode engine t, so that no other request takes its slot there.
func (x *exchange) prefillWithReservation(t, prefill *routing.Target) error {
	t.Counters.Decoding.Add(1)
	t.Counters.InFlight.Add(1)
	defer t.Counters.InFlight.Add(-1)
	defer t.Counters.Decoding.Add(-1)
	return x.runPrefill(prefill)
}

// runPrefill computes the KV cache of the prompt on an engine, which retains it for export. The
// response is an end marker without tokens.
func (x *exchange) runPrefill(t *routing.Target) error {
	load := startLoad(t, x.prediction)
	defer load.end()
	g := x.newGenerate("")
	g.PrefillOnly = true
	s, err := x.openStream(t, g)
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
