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

// Two daemons that claim concurrently must not both hold the lease.
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

// A daemon must not claim before the current holder's lease has ended on the
// holder's clock, which takes the lease duration plus the clock-rate margin.
func TestClaimWaitsForDurationAndMargin(t *testing.T) {
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

// A renewal of a paused holder that reaches the log after another daemon's claim
// must not extend the old lease.
func TestLateRenewalHasNoEffect(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	ra, _ := a.Step(now)
	assert.NilError(t, a.Observe(0, ra, now))
	assert.NilError(t, b.Observe(0, ra, now))
	renew, _ := a.Step(now.Add(3 * time.Second)) // sent now, appended after b's claim
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

// Targets that do not check fencing numbers must get no orders while a paused
// earlier holder may still write one to them.
func TestQuarantineForTargetsWithoutFencing(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	ra, _ := a.Step(now)
	assert.NilError(t, b.Observe(0, ra, now))
	later := now.Add(10 * time.Second)
	rb, _ := b.Step(later)
	assert.NilError(t, b.Observe(1, rb, later))
	var g Gate
	g.Publish(b.Grant())
	_, err := g.Check(later, false, b.Grant().QuarantineOver(later, vmListed))
	assert.Assert(t, errors.Is(err, ErrQuarantine))
	_, err = g.Check(later, true, false)
	assert.NilError(t, err)
	_, err = g.Check(later, false, b.Grant().QuarantineOver(later, vmRemoved))
	assert.NilError(t, err)
	_, err = g.Check(later.Add(7*time.Second), true, false)
	assert.Assert(t, errors.Is(err, ErrNoAuthority))
}

func vmListed(types.VMID) bool  { return false }
func vmRemoved(types.VMID) bool { return true }

// observe applies a record, read at now, to each of the leases.
func observe(t *testing.T, now time.Time, r *Record, ls ...*Lease) {
	t.Helper()
	for _, l := range ls {
		assert.NilError(t, l.Observe(l.NextOffset(), r, now))
	}
}

// A release must not end the quarantine of an earlier holder that did not
// release the lease: a is paused, b takes over and releases, c claims after b.
func TestReleaseDoesNotEndQuarantineOfEarlierHolder(t *testing.T) {
	now := time.Now()
	a, b, c := NewLease(settings("a"), now), NewLease(settings("b"), now), NewLease(settings("c"), now)
	r, _ := a.Step(now)
	observe(t, now, r, b, c)
	now = now.Add(10 * time.Second)
	r, _ = b.Step(now)
	observe(t, now, r, b, c)
	observe(t, now, b.Release(now), b, c)
	r, _ = c.Step(now)
	observe(t, now, r, c)
	assert.Assert(t, c.Held(now))
	assert.Assert(t, !c.Grant().QuarantineOver(now, vmListed))
	assert.Assert(t, c.Grant().QuarantineOver(now.Add(2*time.Minute), vmListed))
}

// After expired records are skipped, a daemon must not claim while another daemon
// holds the lease: the claim has expired from the log, the renewals have not.
func TestRestartLearnsHolderFromRenewals(t *testing.T) {
	now := time.Now()
	a, b := NewLease(settings("a"), now), NewLease(settings("b"), now)
	r, _ := a.Step(now)
	observe(t, now, r, a)
	b.SkipExpired(1, now)
	for range 5 {
		now = now.Add(2 * time.Second)
		r, _ = a.Step(now)
		observe(t, now, r, a, b)
	}
	r, _ = b.Step(now)
	assert.Assert(t, r == nil)
	h, f, _ := b.Holder()
	assert.Equal(t, h.VM, types.VMID("a"))
	assert.Equal(t, f, types.FencingNumber(1))
	observe(t, now, a.Release(now), b) // could be a late release of an earlier holder
	r, wake := b.Step(now)
	assert.Assert(t, r == nil)
	r, _ = b.Step(wake)
	observe(t, wake, r, b)
	assert.Assert(t, !b.Grant().QuarantineOver(wake, vmRemoved), "a holder in the expired records may be paused")
}

// A renewal or claim that was sent before the release and is read after it must
// not restore the lease.
func TestReleaseEndsAuthorityAtOnce(t *testing.T) {
	now := time.Now()
	a := NewLease(settings("a"), now)
	r, _ := a.Step(now)
	observe(t, now, r, a)
	now = now.Add(2 * time.Second)
	renew, _ := a.Step(now)
	assert.Assert(t, a.Release(now) != nil)
	observe(t, now, renew, a)
	assert.Assert(t, !a.Held(now))
	b := NewLease(settings("b"), now)
	claim, _ := b.Step(now) // in flight when the daemon stops
	assert.Assert(t, b.Release(now) == nil)
	observe(t, now, claim, b)
	assert.Assert(t, !b.Held(now))
}
