package load

import (
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Totals are the counts of a run or of one of its phases.
type Totals struct {
	Requests, Answered, Refused, Cut, MixedUp, Good int64
	// Reads counts status reads, StaleReads those with an old or missing order.
	Reads, StaleReads int64
	// Reasons counts why requests were not answered.
	Reasons map[string]int64
	// CutAt counts cut answers by the VM that served them.
	CutAt map[string]int64
	// FirstToken and Interval are in microseconds.
	FirstToken, Interval *hdrhistogram.Histogram
}

const histogramMaxUs = 60_000_000

func newTotals() *Totals {
	return &Totals{
		Reasons: map[string]int64{}, CutAt: map[string]int64{},
		FirstToken: hdrhistogram.New(1, histogramMaxUs, 3), Interval: hdrhistogram.New(1, histogramMaxUs, 3),
	}
}

func (t *Totals) record(vm string, s *Sample) {
	t.Requests++
	switch s.Result {
	case Answered:
		t.Answered++
	case Refused:
		t.Refused++
	case Cut:
		t.Cut++
		t.CutAt[vm]++
	case MixedUp:
		t.MixedUp++
	}
	if s.Result != Answered {
		t.Reasons[s.Reason]++
	}
	if s.Good {
		t.Good++
	}
	if s.Tokens > 0 && s.Result == Answered {
		_ = t.FirstToken.RecordValue(max(s.FirstToken.Microseconds(), 1))
		_ = t.Interval.RecordValue(max(s.Interval.Microseconds(), 1))
	}
}

func (t *Totals) add(o *Totals) {
	t.Requests += o.Requests
	t.Answered += o.Answered
	t.Refused += o.Refused
	t.Cut += o.Cut
	t.MixedUp += o.MixedUp
	t.Good += o.Good
	t.Reads += o.Reads
	t.StaleReads += o.StaleReads
	for k, v := range maps.All(o.Reasons) {
		t.Reasons[k] += v
	}
	for k, v := range maps.All(o.CutAt) {
		t.CutAt[k] += v
	}
	t.FirstToken.Merge(o.FirstToken)
	t.Interval.Merge(o.Interval)
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
