package authority

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/types"
)

func settings(vm string) Settings {
	const d = 6 * time.Second
	return Settings{
		Self:     Holder{VM: types.VMID(vm), Incarnation: "1"},
		Duration: d, RenewInterval: 2 * time.Second, Margin: MarginFor(d), Quarantine: 2 * time.Minute,
	}
}

// Guards against two daemons that claim at once both holding the lease.
func TestFirstClaimWins(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	ra, _ := a.Step(now)
	rb, _ := b.Step(now)
	for _, l := range []*Lease{a, b} {
		assert.NilError(t, l.Observe(0, ra, now))
		assert.NilError(t, l.Observe(1, rb, now))
	}
	assert.Assert(t, a.Held(now))
	assert.Assert(t, !b.Held(now))
}

// Guards against a claim before the earlier holder's lease has certainly ended.
func TestClaimWaitsLeaseAndMargin(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	ra, _ := a.Step(now)
	assert.NilError(t, a.Observe(0, ra, now))
	assert.NilError(t, b.Observe(0, ra, now))
	early := now.Add(6 * time.Second)
	r, wake := b.Step(early)
	assert.Assert(t, r == nil)
	assert.Assert(t, !a.Held(early))
	r, _ = b.Step(wake)
	assert.Equal(t, r.Kind, KindClaim)
}

// Guards against a paused holder that renews after another daemon took over.
func TestLateRenewalHasNoEffect(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	ra, _ := a.Step(now)
	assert.NilError(t, a.Observe(0, ra, now))
	assert.NilError(t, b.Observe(0, ra, now))
	renew, _ := a.Step(now.Add(3 * time.Second)) // sent, but delayed past the claim
	later := now.Add(10 * time.Second)
	rb, _ := b.Step(later)
	for _, l := range []*Lease{a, b} {
		assert.NilError(t, l.Observe(1, rb, later))
		assert.NilError(t, l.Observe(2, renew, later))
	}
	assert.Assert(t, !a.Held(later))
	assert.Assert(t, b.Held(later))
	assert.Assert(t, b.Grant().Fence > 1)
}

// Guards against ordering a target that ignores fencing numbers while a paused
// earlier holder can still write to it.
func TestQuarantineForUncheckedTargets(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	ra, _ := a.Step(now)
	assert.NilError(t, b.Observe(0, ra, now))
	later := now.Add(10 * time.Second)
	rb, _ := b.Step(later)
	assert.NilError(t, b.Observe(1, rb, later))
	var g Gate
	g.Publish(b.Grant())
	_, err := g.Check(later, false, b.Grant().QuarantineOver(later, listed))
	assert.Assert(t, errors.Is(err, ErrQuarantine))
	_, err = g.Check(later, true, false)
	assert.NilError(t, err)
	_, err = g.Check(later, false, b.Grant().QuarantineOver(later, unlisted))
	assert.NilError(t, err)
	_, err = g.Check(later.Add(7*time.Second), true, false)
	assert.Assert(t, errors.Is(err, ErrNoAuthority))
}

func listed(types.VMID) bool   { return false }
func unlisted(types.VMID) bool { return true }

// feed folds records that all readers see at now; a nil record has no effect.
func feed(t *testing.T, now time.Time, r *Record, ls ...*Lease) {
	t.Helper()
	for _, l := range ls {
		assert.NilError(t, l.Observe(l.NextOffset(), r, now))
	}
}

// Guards against a release that hides an earlier holder that did not release:
// a is paused, b takes over and releases, c follows b.
func TestReleaseDoesNotClearEarlierHolder(t *testing.T) {
	now := time.Now()
	a, b, c := NewLease(settings("a"), now), NewLease(settings("b"), now), NewLease(settings("c"), now)
	r, _ := a.Step(now)
	feed(t, now, r, b, c)
	now = now.Add(10 * time.Second)
	r, _ = b.Step(now)
	feed(t, now, r, b, c)
	feed(t, now, b.Release(now), b, c)
	r, _ = c.Step(now)
	feed(t, now, r, c)
	assert.Assert(t, c.Held(now))
	assert.Assert(t, !c.Grant().QuarantineOver(now, listed))
	assert.Assert(t, c.Grant().QuarantineOver(now.Add(2*time.Minute), listed))
}

// Guards against a daemon that claims beside a live holder whose claim, but not
// its renewals, has expired from the log.
func TestRestartLearnsHolderFromRenewals(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	r, _ := a.Step(now)
	feed(t, now, r, a)
	b.SkipExpired(1, now)
	for range 5 {
		now = now.Add(2 * time.Second)
		r, _ = a.Step(now)
		feed(t, now, r, a, b)
	}
	r, _ = b.Step(now)
	assert.Assert(t, r == nil)
	h, f, _ := b.Holder()
	assert.Equal(t, h.VM, types.VMID("a"))
	assert.Equal(t, f, types.FencingNumber(1))
	feed(t, now, a.Release(now), b) // may be a late release of an earlier holder
	r, wake := b.Step(now)
	assert.Assert(t, r == nil)
	r, _ = b.Step(wake)
	feed(t, wake, r, b)
	assert.Assert(t, !b.Grant().QuarantineOver(wake, unlisted), "an unknown holder may be paused")
}

// Guards against a renewal that was sent before the release and read after it.
func TestReleaseEndsAuthorityAtOnce(t *testing.T) {
	now := time.Now()
	a := NewLease(settings("a"), now)
	r, _ := a.Step(now)
	feed(t, now, r, a)
	now = now.Add(2 * time.Second)
	renew, _ := a.Step(now)
	assert.Assert(t, a.Release(now) != nil)
	feed(t, now, renew, a)
	assert.Assert(t, !a.Held(now))
	b := NewLease(settings("b"), now)
	claim, _ := b.Step(now) // on its way when the daemon stops
	assert.Assert(t, b.Release(now) == nil)
	feed(t, now, claim, b)
	assert.Assert(t, !b.Held(now))
}
