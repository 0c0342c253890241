package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lentilpick/lentilpick/planning"
)

// Result is the outcome of one policy on one trace.
type Result struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	// InitialRoles holds the number of mixed, prefill and decode engines at the start.
	InitialRoles planning.RoleCounts `json:"roles_at_start"`
	// Goodput is the share of all requests that were completed within both deadlines.
	Goodput float64 `json:"goodput"`
	// TokenGoodput is the share of all requested output tokens that belong to those requests.
	TokenGoodput float64 `json:"token_goodput"`
	RoleChanges  int     `json:"role_changes"`
	// P95FirstToken and P95Interval cover all requests that produced output, including failed ones.
	P95FirstToken    time.Duration `json:"p95_first_token_ns"`
	P95Interval      time.Duration `json:"p95_interval_ns"`
	Requests         int           `json:"requests"`
	InTime           int           `json:"good"`
	LateFirstToken   int           `json:"late_first_token"`
	LateIntervals    int           `json:"late_intervals"`
	RefusedAdmission int           `json:"refused_admission"`
	RefusedPlacement int           `json:"refused_placement"`
	Failed           int           `json:"cut"`
	// Timeline is the goodput by arrival time, in windows of TimelineStep.
	Timeline []float64 `json:"timeline"`

	tokens, inTimeTokens                int
	inTimePerWindow                     []int
	requestsPerWindow                   []int
	firstTokenLatencies, tokenIntervals *hdrhistogram.Histogram
}

// TimelineStep is the width of the windows of Result.Timeline.
const TimelineStep = 5 * time.Second

func newResult(trace, policy string) *Result {
	n := int(traceLength / TimelineStep)
	return &Result{
		Trace: trace, Policy: policy, inTimePerWindow: make([]int, n), requestsPerWindow: make([]int, n),
		firstTokenLatencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		tokenIntervals:      hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (r *Result) recordArrival(q *Request) {
	r.Requests++
	r.tokens += q.Output
	r.requestsPerWindow[q.Arrival/TimelineStep]++
}

func (r *Result) recordFirstToken(d time.Duration) {
	_ = r.firstTokenLatencies.RecordValue(d.Microseconds())
}
func (r *Result) recordInterval(d time.Duration) { _ = r.tokenIntervals.RecordValue(d.Microseconds()) }

// recordResponse counts a complete response by whether it met the two deadlines.
func (r *Result) recordResponse(q *Request, firstInTime, intervalsInTime bool) {
	if !firstInTime {
		r.LateFirstToken++
	}
	if !intervalsInTime {
		r.LateIntervals++
	}
	if !firstInTime || !intervalsInTime {
		return
	}
	r.InTime++
	r.inTimeTokens += q.Output
	r.inTimePerWindow[q.Arrival/TimelineStep]++
}

// summarise computes the fields that are derived from the counters and histograms.
func (r *Result) summarise() {
	r.Goodput = float64(r.InTime) / float64(max(r.Requests, 1))
	r.TokenGoodput = float64(r.inTimeTokens) / float64(max(r.tokens, 1))
	r.P95FirstToken = time.Duration(r.firstTokenLatencies.ValueAtQuantile(95)) * time.Microsecond
	r.P95Interval = time.Duration(r.tokenIntervals.ValueAtQuantile(95)) * time.Microsecond
	for i, n := range r.requestsPerWindow {
		r.Timeline = append(r.Timeline, float64(r.inTimePerWindow[i])/float64(max(n, 1)))
	}
}
