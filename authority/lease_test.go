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
		Duration: d, RenewEvery: 2 * time.Second, Margin: MarginFor(d), Quarantine: 2 * time.Minute,
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
	_, err := g.Check(later, false, false)
	assert.Assert(t, errors.Is(err, ErrQuarantine))
	_, err = g.Check(later, true, false)
	assert.NilError(t, err)
	_, err = g.Check(later, false, true)
	assert.NilError(t, err)
	_, err = g.Check(later.Add(7*time.Second), true, false)
	assert.Assert(t, errors.Is(err, ErrNoAuthority))
}
