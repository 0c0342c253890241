package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// fakeLog is an in-memory log with one stream.
type fakeLog struct {
	records []logclient.Record
	oldest  types.Offset
	era     types.Era
	reads   int
	// olderMembers reports whether a node of an older release runs beside.
	olderMembers bool
	appendErr    error // returned by the next append, which still stores its records
}

// returnFrom replaces the records by the first n of them, as a store does that returns from a copy.
func (l *fakeLog) returnFrom(n int, era types.Era) { l.records, l.era = l.records[:n:n], era }

func (l *fakeLog) Append(_ context.Context, _ string, data [][]byte) (types.Offset, error) {
	o := l.oldest + types.Offset(len(l.records))
	for i, d := range data {
		l.records = append(l.records, logclient.Record{Offset: o + types.Offset(i), Data: d})
	}
	err := l.appendErr
	l.appendErr = nil
	return o, err
}

func (l *fakeLog) Read(_ context.Context, _ string, from types.Offset, _ int, _ time.Duration) (logclient.Batch, error) {
	l.reads++
	next := l.oldest + types.Offset(len(l.records))
	if from < l.oldest || from > next {
		return logclient.Batch{}, &logclient.ExpiredError{Era: l.era, Oldest: l.oldest}
	}
	b := logclient.Batch{Era: l.era, Oldest: l.oldest, Next: next}
	b.Records = l.records[from-l.oldest:]
	return b, nil
}

const leasePeriod = 3 * time.Second

func newTestClaimer(l *fakeLog, vm types.VMID) *leaseClaimer {
	return newLeaseClaimer(l, authority.Holder{VM: vm, Incarnation: "1"}, leasePeriod, true, func() types.Era { return l.era }, func() bool { return l.olderMembers })
}

// Guards against engines that do not check fencing numbers and get a lower one from a node of an older
// release, whose numbers do not depend on the era.
func TestNoClaimAfterReturnBesideOlderRelease(t *testing.T) {
	for _, c := range []struct {
		era    types.Era
		fenced bool
		err    error
	}{{0, false, nil}, {1, false, nil}, {2, false, errOlderMembers}, {2, true, errLeaseNotHeld}} {
		l := &fakeLog{era: c.era, olderMembers: true}
		claimer := newTestClaimer(l, "a")
		claimer.fenced = c.fenced
		g, err := claimer.claim(t.Context())
		assert.Assert(t, errors.Is(err, c.err), "%+v: %v", c, err)
		if c.err == nil {
			assert.Equal(t, g.fence, types.FencingNumber(1), "as in the older release")
		}
	}
}

// Guards against two nodes that order the same target with one fencing number, in quick succession or
// with a lower number than before, because the store has returned from a copy without their claims: with
// nodes that have read the lost claims, that have claimed themselves and that start without memory, with
// none, one or two claims in the copy, several returns, and a log that states no era.
func TestLeaseOverReturnsOfTheStore(t *testing.T) {
	for _, stated := range []bool{true, false} {
		for copied := range 3 {
			t.Run(fmt.Sprintf("stated %v, %d claims in the copy", stated, copied), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testReturns(t, copied, stated) })
			})
		}
	}
}

func testReturns(t *testing.T, copied int, stated bool) {
	l := &fakeLog{}
	if stated {
		l.era = types.FirstEra
	}
	a, b := newTestClaimer(l, "a"), newTestClaimer(l, "b")
	holders, ordered, highest, last := map[types.FencingNumber]*leaseClaimer{}, time.Time{}, types.FencingNumber(0), a
	order := func(c *leaseClaimer) bool {
		reads := l.reads
		g, err := c.claim(t.Context())
		assert.Assert(t, l.reads-reads <= 4*maxClaimAttempts)
		if err != nil {
			assert.Assert(t, errors.Is(err, errLeaseNotHeld), "%v", err)
			return false
		}
		assert.Assert(t, holders[g.fence] == nil || holders[g.fence] == c, "number %d of two nodes", g.fence)
		assert.Assert(t, g.fence >= highest, "%d after %d", g.fence, highest)
		assert.Assert(t, last == c || time.Since(ordered) >= leasePeriod, "orders of two holders within %s", time.Since(ordered))
		holders[g.fence], ordered, highest, last = c, time.Now(), g.fence, c
		return true
	}
	claimInTurn := func(all ...*leaseClaimer) {
		for _, c := range all {
			for !order(c) {
				time.Sleep(leasePeriod / 4)
			}
			time.Sleep(leasePeriods*leasePeriod + time.Second)
		}
	}
	for range 2 {
		claimInTurn(a, b)
		if !stated {
			order(a) // reads the claim of b, of whose loss it could not know
			l.returnFrom(copied, 0)
			continue
		}
		for !order(a) {
			time.Sleep(leasePeriod / 4)
		}
		l.returnFrom(copied, l.era+1) // while a may still send orders
		started := newTestClaimer(l, "started")
		for range 4 {
			order(started)
			if copied == 1 {
				order(a)
			}
			time.Sleep(leasePeriod / 2)
		}
		claimInTurn(started)
	}
	claimInTurn(b, a)
}

// Guards against two nodes that may send orders at the same time, or in such quick succession that
// orders of both reach a target alternately.
func TestOnlyOneLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{}
		a, b := newTestClaimer(l, "a"), newTestClaimer(l, "b")
		first, err := a.claim(ctx)
		assert.NilError(t, err)
		_, err = b.claim(ctx)
		assert.Assert(t, errors.Is(err, errLeaseNotHeld), "%v", err)
		again, err := a.claim(ctx)
		assert.NilError(t, err)
		assert.Equal(t, again.fence, first.fence)
		time.Sleep(leasePeriods*leasePeriod - time.Millisecond)
		_, err = b.claim(ctx)
		assert.Assert(t, errors.Is(err, errLeaseNotHeld), "%v", err)
		time.Sleep(time.Second)
		second, err := b.claim(ctx)
		assert.NilError(t, err)
		assert.Assert(t, second.fence > first.fence)
		_, err = a.claim(ctx)
		assert.Assert(t, err != nil)
	})
}

// Guards against orders to engines that do not check fencing numbers while an order of an earlier
// holder may still be in progress.
func TestQuarantineWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{}
		a, b := newTestClaimer(l, "a"), newTestClaimer(l, "b")
		a.fenced, b.fenced = false, false
		_, err := a.claim(ctx)
		assert.NilError(t, err)
		granted := time.Duration(0)
		for began := time.Now(); granted == 0; time.Sleep(time.Second) {
			_, err = b.claim(ctx)
			if err == nil {
				granted = time.Since(began)
			}
			assert.Assert(t, err == nil || errors.Is(err, errLeaseNotHeld), "%v", err)
		}
		assert.Assert(t, granted >= quarantine, "claim granted after %s", granted)
	})
}

// Guards against a claim that is ignored because the response to its append was lost, and against a
// grant to a node that cannot read earlier claims because their records have expired.
func TestClaimWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{appendErr: logclient.ErrAmbiguous}
		a, b := newTestClaimer(l, "a"), newTestClaimer(l, "b")
		_, err := a.claim(ctx)
		assert.Assert(t, errors.Is(err, logclient.ErrAmbiguous))
		_, err = b.claim(ctx)
		assert.Assert(t, errors.Is(err, errLeaseNotHeld), "the log contains the claim of a")
		l.oldest, l.records = l.oldest+types.Offset(len(l.records)), nil
		c := newTestClaimer(l, "c")
		_, err = c.claim(ctx)
		assert.Assert(t, errors.Is(err, errLeaseNotHeld), "a holder whose records have expired may still be active: %v", err)
		time.Sleep(leasePeriods*leasePeriod + time.Second)
		_, err = c.claim(ctx)
		assert.NilError(t, err)
	})
}

// Guards against an order after the end of a grant, such as after a suspension of the machine, which
// only the boot clock counts.
func TestGrantExpires(t *testing.T) {
	assert.NilError(t, grant{end: bootTime() + time.Hour}.check())
	assert.Assert(t, errors.Is(grant{end: bootTime()}.check(), errGrantExpired))
	assert.Assert(t, errors.Is(grant{}.check(), errGrantExpired))
}

// fakeRoleSetter records orders and returns the results of respond.
type fakeRoleSetter struct {
	orders  []types.TargetID
	respond func() (authority.Outcome, error)
	read    func() // called while the state of the engine is read, unless nil
}

func (o *fakeRoleSetter) SetRole(e *directory.Target, _ types.Role, _ types.VMID, _ types.FencingNumber, check func() error) (authority.Outcome, error) {
	if o.read != nil {
		o.read()
	}
	if err := check(); err != nil {
		return authority.OutcomeNotSent, err
	}
	o.orders = append(o.orders, e.ID)
	return o.respond()
}

func newTestRoleController(o *fakeRoleSetter, rank int) *roleController {
	d := directory.New()
	for _, id := range []types.TargetID{"a", "b", "c", "d"} {
		d.Put(directory.Entry{ID: id, Service: "llm", Role: types.RoleDecode, DataCentre: "dc1"})
	}
	g := gateway.New(gateway.Settings{Now: time.Now}, d, nil, nil, nil)
	g.SetTable(routes.NewTable(1, routes.Limits{}, nil, []routes.Service{{Name: "llm", Engine: &routes.Engine{RoleChangeTime: 3 * time.Second}}, {Name: "desk"}}))
	return &roleController{
		log: daemon.NewLogger(io.Discard, "error", "node"), gateway: g, directory: d, targets: o, fixedShare: 0.5, self: "vm",
		lease: newTestClaimer(&fakeLog{}, "vm"), rank: func() int { return rank }, linkLost: func() bool { return false }, notifySuspended: func(*directory.Target) {}, ordered: map[types.TargetID]orderedRole{},
	}
}

// Guards against orders because of engines that are missing only briefly, orders that are repeated
// before the registrations show the new role, and a node that sends orders before its rank allows.
func TestRoleController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		o := &fakeRoleSetter{respond: func() (authority.Outcome, error) { return authority.OutcomeAccepted, nil }}
		k, second := newTestRoleController(o, 0), newTestRoleController(o, 1)
		run := func(k *roleController, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(roleInterval) {
				k.step(ctx, time.Now())
			}
		}
		run(k, roleSettleTime)
		assert.Equal(t, len(o.orders), 0)
		run(k, time.Second)
		assert.Equal(t, len(o.orders), 2)
		run(k, registrationLag)
		assert.Equal(t, len(o.orders), 2)
		o.orders = nil
		run(second, roleTakeoverStep)
		assert.Equal(t, len(o.orders), 0)
		run(second, 2*roleSettleTime)
		assert.Equal(t, len(o.orders), 2)
	})
}

// Guards against an order that is repeated immediately after its response was lost, and against a
// refused order that is never repeated.
func TestRoleOrderOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		outcome := authority.OutcomeUnknown
		o := &fakeRoleSetter{respond: func() (authority.Outcome, error) { return outcome, errors.New("lost") }}
		k := newTestRoleController(o, 0)
		for range 12 {
			k.step(ctx, time.Now())
			time.Sleep(roleInterval)
		}
		assert.Equal(t, len(o.orders), 2)
		outcome = authority.OutcomeRefused
		time.Sleep(20 * time.Second)
		for range 60 {
			k.step(ctx, time.Now())
			time.Sleep(roleInterval)
		}
		assert.Assert(t, len(o.orders) > 4 && len(o.orders) < 14, "%d orders", len(o.orders))
	})
}

// Guards against a stopping node that sends further orders, or takes the lease from the nodes that
// serve on.
func TestStoppingNodeSendsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accept := func() (authority.Outcome, error) { return authority.OutcomeAccepted, nil }
		deviate := func(ctx context.Context, k *roleController) {
			k.step(ctx, time.Now())
			time.Sleep(2 * roleSettleTime)
			k.step(ctx, time.Now())
		}
		ctx, stop := context.WithCancel(context.Background())
		o := &fakeRoleSetter{respond: func() (authority.Outcome, error) { stop(); return accept() }}
		k := newTestRoleController(o, 0)
		deviate(ctx, k)
		assert.Equal(t, len(o.orders), 1, "stopped after the first order")
		assert.Equal(t, len(k.ordered), 1, "the order in progress is recorded")

		ctx, stop = context.WithCancel(context.Background())
		o = &fakeRoleSetter{respond: accept, read: stop}
		deviate(ctx, newTestRoleController(o, 0))
		assert.Equal(t, len(o.orders), 0, "stopped while the state of the engine was read")

		l := &fakeLog{}
		k = newTestRoleController(o, 0)
		k.lease = newTestClaimer(l, "vm")
		deviate(ctx, k)
		assert.Equal(t, len(l.records), 0, "claim of a stopping node")
	})
}

// Guards against a node without a link to the engines that takes the lease, or goes on under it, so
// that nobody can send orders.
func TestLostLinkLeavesOrdersToTheNextNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{}
		lost := true
		failing := &fakeRoleSetter{respond: func() (authority.Outcome, error) {
			lost = true
			return authority.OutcomeNotSent, errors.New("no connection")
		}}
		k := newTestRoleController(failing, 0)
		k.linkLost = func() bool { return lost }
		k.lease = newTestClaimer(l, "vm")
		run := func(d time.Duration, nodes ...*roleController) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(roleInterval) {
				for _, k := range nodes {
					k.step(ctx, time.Now())
				}
			}
		}
		run(20*time.Second, k)
		assert.Equal(t, len(l.records), 0, "claim without a link")
		lost = false
		run(2*roleSettleTime, k)
		assert.Equal(t, len(failing.orders), 1, "orders after the link was lost")
		claims := len(l.records)
		o := &fakeRoleSetter{respond: func() (authority.Outcome, error) { return authority.OutcomeAccepted, nil }}
		next := newTestRoleController(o, 1)
		next.self, next.lease = "next", newTestClaimer(l, "next")
		run(leasePeriods*leasePeriod+roleSettleTime+roleTakeoverStep+maxRoleBackoff, k, next)
		assert.Equal(t, len(o.orders), 2)
		assert.Assert(t, len(l.records) > claims && len(failing.orders) == 1)
	})
}

// Guards against orders of a node that has just started, whose only plan is the roles of the engines
// that it saw first.
func TestStartedNodeKeepsRolesOfReturningEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeRoleSetter{respond: func() (authority.Outcome, error) { return authority.OutcomeAccepted, nil }}
		k := newTestRoleController(o, 0)
		k.fixedShare, k.services = 0, map[types.ServiceID]*serviceRoles{}
		k.demand = func(types.ServiceID) demand.Work { return demand.Work{} }
		put := func(id types.TargetID, role types.Role) {
			k.directory.Put(directory.Entry{ID: id, Service: "llm", Role: role, DataCentre: "dc1"})
		}
		put("a", types.RolePrefill)
		put("b", types.RolePrefill)
		k.directory.Remove("d", time.Now(), 0)
		for i := range 80 {
			if i == 4 {
				put("d", types.RoleDecode)
			}
			k.step(context.Background(), time.Now())
			time.Sleep(roleInterval)
		}
		assert.Equal(t, len(o.orders), 0, "%v", o.orders)
	})
}
