package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentilpick/lentilpick/planning"
)

// Result is what one policy reached on one trace.
type Result struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	// Roles are the mixed, prefill and decode engines at the start.
	Roles planning.RoleCounts `json:"roles_at_start"`
	// Goodput is the part of all requests answered within both deadlines.
	Goodput float64 `json:"goodput"`
	// TokenGoodput is the same in output tokens.
	TokenGoodput float64 `json:"token_goodput"`
	RoleChanges  int     `json:"role_changes"`
	// P95FirstToken and P95Interval cover the requests that were started.
	P95FirstToken    time.Duration `json:"p95_first_token_ns"`
	P95Interval      time.Duration `json:"p95_interval_ns"`
	Requests         int           `json:"requests"`
	Good             int           `json:"good"`
	LateFirst        int           `json:"late_first_token"`
	LateIntervals    int           `json:"late_intervals"`
	RefusedAdmission int           `json:"refused_admission"`
	RefusedPlacement int           `json:"refused_placement"`
	Cut              int           `json:"cut"`
	// Timeline is the goodput by time of arrival, in windows of TimelineStep.
	Timeline []float64 `json:"timeline"`

	tokens, goodTokens int
	windowGood         []int
	windowAll          []int
	first, intervals   *hdrhistogram.Histogram
}

// TimelineStep is the width of the windows of Result.Timeline.
const TimelineStep = 5 * time.Second

func newResult(trace, policy string) *Result {
	n := int(traceLength / TimelineStep)
	return &Result{
		Trace: trace, Policy: policy, windowGood: make([]int, n), windowAll: make([]int, n),
		first:     hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		intervals: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (r *Result) arrived(q *Request) {
	r.Requests++
	r.tokens += q.Output
	r.windowAll[q.Arrival/TimelineStep]++
}

func (r *Result) firstToken(d time.Duration) { _ = r.first.RecordValue(d.Microseconds()) }
func (r *Result) interval(d time.Duration)   { _ = r.intervals.RecordValue(d.Microseconds()) }

// answered counts a complete response.
func (r *Result) answered(q *Request, firstInTime, intervalsInTime bool) {
	if !firstInTime {
		r.LateFirst++
	}
	if !intervalsInTime {
		r.LateIntervals++
	}
	if !firstInTime || !intervalsInTime {
		return
	}
	r.Good++
	r.goodTokens += q.Output
	r.windowGood[q.Arrival/TimelineStep]++
}

func (r *Result) close() {
	r.Goodput = float64(r.Good) / float64(max(r.Requests, 1))
	r.TokenGoodput = float64(r.goodTokens) / float64(max(r.tokens, 1))
	r.P95FirstToken = time.Duration(r.first.ValueAtQuantile(95)) * time.Microsecond
	r.P95Interval = time.Duration(r.intervals.ValueAtQuantile(95)) * time.Microsecond
	for i, n := range r.windowAll {
		r.Timeline = append(r.Timeline, float64(r.windowGood[i])/float64(max(n, 1)))
	}
}
