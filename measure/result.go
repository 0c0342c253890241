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
	InitialRoles planning.RoleCounts `json:"roles_at_start"`
	// Goodput is the part of all requests answered within both deadlines.
	Goodput float64 `json:"goodput"`
	// TokenGoodput is the same in output tokens.
	TokenGoodput float64 `json:"token_goodput"`
	RoleChanges  int     `json:"role_changes"`
	// P95FirstToken and P95Interval cover the requests that were started.
	P95FirstToken    time.Duration `json:"p95_first_token_ns"`
	P95Interval      time.Duration `json:"p95_interval_ns"`
	Requests         int           `json:"requests"`
	InTime           int           `json:"good"`
	LateFirstToken   int           `json:"late_first_token"`
	LateIntervals    int           `json:"late_intervals"`
	RefusedAdmission int           `json:"refused_admission"`
	RefusedPlacement int           `json:"refused_placement"`
	Failed           int           `json:"cut"`
	// Timeline is the goodput by time of arrival, in windows of TimelineStep.
	Timeline []float64 `json:"timeline"`

	tokens, inTimeTokens            int
	inTimePerWindow                 []int
	requestsPerWindow               []int
	firstTokenTimes, tokenIntervals *hdrhistogram.Histogram
}

// TimelineStep is the width of the windows of Result.Timeline.
const TimelineStep = 5 * time.Second

func newResult(trace, policy string) *Result {
	n := int(traceLength / TimelineStep)
	return &Result{
		Trace: trace, Policy: policy, inTimePerWindow: make([]int, n), requestsPerWindow: make([]int, n),
		firstTokenTimes: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		tokenIntervals:  hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (r *Result) recordArrival(q *Request) {
	r.Requests++
	r.tokens += q.Output
	r.requestsPerWindow[q.Arrival/TimelineStep]++
}

func (r *Result) recordFirstToken(d time.Duration) {
	_ = r.firstTokenTimes.RecordValue(d.Microseconds())
}
func (r *Result) recordInterval(d time.Duration) { _ = r.tokenIntervals.RecordValue(d.Microseconds()) }

// answered counts a complete response.
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

func (r *Result) summarise() {
	r.Goodput = float64(r.InTime) / float64(max(r.Requests, 1))
	r.TokenGoodput = float64(r.inTimeTokens) / float64(max(r.tokens, 1))
	r.P95FirstToken = time.Duration(r.firstTokenTimes.ValueAtQuantile(95)) * time.Microsecond
	r.P95Interval = time.Duration(r.tokenIntervals.ValueAtQuantile(95)) * time.Microsecond
	for i, n := range r.requestsPerWindow {
		r.Timeline = append(r.Timeline, float64(r.inTimePerWindow[i])/float64(max(n, 1)))
	}
}
