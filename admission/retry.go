package admission

import "sync/atomic"

// RetryBudget is a token bucket that earns a fraction of a retry with each
// request, so that retries cannot multiply load during an outage. The zero value
// holds a few retries, so that a daemon that has just started can use them.
type RetryBudget struct {
	// millis is what was earned less what was spent, in 1/1000 retries.
	millis atomic.Int64
	limits atomic.Pointer[RetryLimits]
}

// RetryLimits are the limits of a RetryBudget.
type RetryLimits struct {
	// Ratio is the part of a retry that a request earns.
	Ratio float64
	// Saved is the largest number of retries that can be saved up. No more than
	// this, plus what was earned meanwhile, is spent in any span of time.
	MaxSaved float64
}

// SetLimits replaces the limits, such as when the daemons that share a budget
// become more or fewer.
func (b *RetryBudget) SetLimits(l RetryLimits) { b.limits.Store(&l) }

// millisOf returns the limits in 1/1000 retries: earned by a request, saved at
// most, and the budget of a new daemon.
func (b *RetryBudget) millisOf() (earn, saved, first int64) {
	l := b.limits.Load()
	if l == nil {
		return retryEarnMillis, retryCapMillis, retryFirstMillis
	}
	saved = int64(l.MaxSaved * retryCostMillis)
	return int64(l.Ratio * retryCostMillis), saved, saved
}

const (
	retryEarnMillis = 100    // one retry for ten requests
	retryCapMillis  = 50_000 // at most 50 saved retries
	retryCostMillis = 1000
	// retryFirstMillis is the budget of a new daemon: 10 retries.
	retryFirstMillis = 10_000
)

// Earn adds one request to the budget.
func (b *RetryBudget) Earn() {
	earn, saved, first := b.millisOf()
	if v := b.millis.Load(); v+first < saved {
		b.millis.Add(min(earn, saved-first-v))
	}
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool { return b.SpendN(1) }

// SpendMany takes n retries from the budget and reports whether there were as
// many. Without, it takes none.
func (b *RetryBudget) SpendN(n int64) bool {
	_, _, first := b.millisOf()
	for {
		v := b.millis.Load()
		if v+first < n*retryCostMillis {
			return false
		}
		if b.millis.CompareAndSwap(v, v-n*retryCostMillis) {
			return true
		}
	}
}

// Charge takes one retry that has been made already, even beyond the budget.
func (b *RetryBudget) Charge() { b.millis.Add(-retryCostMillis) }
