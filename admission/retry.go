package admission

import "sync/atomic"

// RetryBudget is a token bucket that earns a fraction of a retry with each
// request, so that retries cannot multiply load during an outage. The zero value
// holds a few retries, so that a daemon that has just started can use them.
type RetryBudget struct {
	// millis is what was earned less what was spent, in 1/1000 retries.
	millis atomic.Int64
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
	if b.millis.Load() < retryCapMillis-retryFirstMillis {
		b.millis.Add(retryEarnMillis)
	}
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	for {
		v := b.millis.Load()
		if v+retryFirstMillis < retryCostMillis {
			return false
		}
		if b.millis.CompareAndSwap(v, v-retryCostMillis) {
			return true
		}
	}
}
