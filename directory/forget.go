package directory

import "time"

// ForgetFailures removes what failures and silence have taught about the target, because its
// daemon could not reach it. A suspension by an order stays, and the target stays Failing until its
// next success: it may have restarted meanwhile.
func (l *Load) ForgetFailures(now time.Time) {
	l.consecutiveFailures.Store(min(l.consecutiveFailures.Load(), 1))
	l.failureShare.Store(0)
	l.RecordActivity(now)
	if !l.suspected.Load() {
		l.RetryAfter.Store(0)
	}
}
