package load

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Totals holds the counts and latency histograms of a run or of one phase.
type Totals struct {
	Requests, Answered, Refused, Incomplete, MixedUp, MetDeadlines int64
	// StatusReads counts reads after a booking, StaleStatusReads those that
	// returned an old or missing order.
	StatusReads, StaleStatusReads int64
	// Reasons counts the requests that were not answered by reason.
	Reasons map[string]int64
	// IncompleteByVM counts incomplete requests by the address of the VM that
	// served them.
	IncompleteByVM map[string]int64
	// FirstToken and TokenInterval are in microseconds.
	FirstToken, TokenInterval *hdrhistogram.Histogram
}

const histogramMaxUs = 60_000_000

func newTotals() *Totals {
	return &Totals{
		Reasons: map[string]int64{}, IncompleteByVM: map[string]int64{},
		FirstToken: hdrhistogram.New(1, histogramMaxUs, 3), TokenInterval: hdrhistogram.New(1, histogramMaxUs, 3),
	}
}

func (t *Totals) record(vm string, s *Sample) {
	t.Requests++
	switch s.Result {
	case Answered:
		t.Answered++
	case Refused:
		t.Refused++
	case Incomplete:
		t.Incomplete++
		t.IncompleteByVM[vm]++
	case MixedUp:
		t.MixedUp++
	}
	if s.Result != Answered {
		t.Reasons[s.Reason]++
	}
	if s.MetDeadlines {
		t.MetDeadlines++
	}
	if s.Tokens > 0 && s.Result == Answered {
		_ = t.FirstToken.RecordValue(max(s.FirstToken.Microseconds(), 1))
		_ = t.TokenInterval.RecordValue(max(s.TokenInterval.Microseconds(), 1))
	}
}

func (t *Totals) add(o *Totals) {
	t.Requests += o.Requests
	t.Answered += o.Answered
	t.Refused += o.Refused
	t.Incomplete += o.Incomplete
	t.MixedUp += o.MixedUp
	t.MetDeadlines += o.MetDeadlines
	t.StatusReads += o.StatusReads
	t.StaleStatusReads += o.StaleStatusReads
	for k, v := range maps.All(o.Reasons) {
		t.Reasons[k] += v
	}
	for k, v := range maps.All(o.IncompleteByVM) {
		t.IncompleteByVM[k] += v
	}
	t.FirstToken.Merge(o.FirstToken)
	t.TokenInterval.Merge(o.TokenInterval)
}

// sum returns the totals over all phases.
func sum(phases []*Totals) *Totals {
	all := newTotals()
	for _, p := range phases {
		all.add(p)
	}
	return all
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func ms(us int64) float64 { return float64(us) / 1000 }
