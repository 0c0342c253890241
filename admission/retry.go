package admission

import "sync/atomic"

// RetryBudget is a token bucket to which each request adds a fraction of a retry, so
// that retries cannot multiply the load during an outage. The zero value has the
// default limits and starts with a balance of 10 retries, which a daemon can use
// immediately after it has started.
type RetryBudget struct {
	// balanceMillis is the sum of the retries earned less those spent, in units of
	// 1/1000 retries. The initial balance is added when it is used.
	balanceMillis atomic.Int64
	limits        atomic.Pointer[RetryLimits]
}

// RetryLimits contains the limits of a RetryBudget.
type RetryLimits struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// MaxSaved is the maximum balance in retries, and the initial one. In any period,
	// at most MaxSaved retries plus those earned in the period are spent.
	MaxSaved float64
}

// SetLimits replaces the limits, for example when the number of daemons that share a
// budget changes.
func (b *RetryBudget) SetLimits(l RetryLimits) { b.limits.Store(&l) }

// limitsMillis returns, in units of 1/1000 retries, what each request earns, the
// maximum balance and the initial balance.
func (b *RetryBudget) limitsMillis() (earn, maxSaved, initial int64) {
	l := b.limits.Load()
	if l == nil {
		return defaultEarnMillis, defaultMaxMillis, defaultInitialMillis
	}
	maxSaved = int64(l.MaxSaved * millisPerRetry)
	return int64(l.Ratio * millisPerRetry), maxSaved, maxSaved
}

const (
	defaultEarnMillis = 100    // one retry per ten requests
	defaultMaxMillis  = 50_000 // 50 retries
	millisPerRetry    = 1000
	// defaultInitialMillis is the balance of a new daemon: 10 retries.
	defaultInitialMillis = 10_000
)

// Earn adds to the budget what one request earns, up to the maximum balance.
func (b *RetryBudget) Earn() {
	earn, maxSaved, initial := b.limitsMillis()
	if v := b.balanceMillis.Load(); v+initial < maxSaved {
		b.balanceMillis.Add(min(earn, maxSaved-initial-v))
	}
}

// Spend takes one retry from the budget and reports whether the balance sufficed.
func (b *RetryBudget) Spend() bool { return b.SpendN(1) }

// SpendN takes n retries from the budget and reports whether the balance sufficed. If
// not, it takes none.
func (b *RetryBudget) SpendN(n int64) bool {
	_, _, initial := b.limitsMillis()
	for {
		v := b.balanceMillis.Load()
		if v+initial < n*millisPerRetry {
			return false
		}
		if b.balanceMillis.CompareAndSwap(v, v-n*millisPerRetry) {
			return true
		}
	}
}

// Charge takes one retry that has been made already from the budget. The balance may
// become negative.
func (b *RetryBudget) Charge() { b.balanceMillis.Add(-millisPerRetry) }
