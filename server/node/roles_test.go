package node

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// fakeLog is a log of one stream.
type fakeLog struct {
	records []logclient.Record
	first   types.Offset
	fail    error // of the next append, which is carried out
}

func (l *fakeLog) Append(_ context.Context, _ string, data [][]byte) (types.Offset, error) {
	o := l.first + types.Offset(len(l.records))
	for i, d := range data {
		l.records = append(l.records, logclient.Record{Offset: o + types.Offset(i), Data: d})
	}
	err := l.fail
	l.fail = nil
	return o, err
}

func (l *fakeLog) Read(_ context.Context, _ string, from types.Offset, _ int, _ time.Duration) (logclient.Batch, error) {
	if from < l.first {
		return logclient.Batch{}, &logclient.ExpiredError{Oldest: l.first}
	}
	b := logclient.Batch{Oldest: l.first, Next: l.first + types.Offset(len(l.records))}
	b.Records = l.records[from-l.first:]
	return b, nil
}

const period = 3 * time.Second

func claimer(l *fakeLog, vm types.VMID) *leaseClaimer {
	return newLeaseClaimer(l, authority.Holder{VM: vm, Incarnation: "1"}, period, true)
}

// Guards against two nodes that may order at the same time, or so soon after one
// another that targets see them take turns.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{}
		a, b := claimer(l, "a"), claimer(l, "b")
		first, err := a.claim(ctx)
		assert.NilError(t, err)
		_, err = b.claim(ctx)
		assert.Assert(t, errors.Is(err, errNotHeld), "%v", err)
		again, err := a.claim(ctx)
		assert.NilError(t, err)
		assert.Equal(t, again.fence, first.fence)
		time.Sleep(leasePeriods*period - time.Millisecond)
		_, err = b.claim(ctx)
		assert.Assert(t, errors.Is(err, errNotHeld), "%v", err)
		time.Sleep(time.Second)
		second, err := b.claim(ctx)
		assert.NilError(t, err)
		assert.Assert(t, second.fence > first.fence)
		_, err = a.claim(ctx)
		assert.Assert(t, err != nil)
	})
}

// Guards against orders to engines that do not check fencing numbers while an
// earlier holder may still have one under way.
func TestQuarantineWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{}
		a, b := claimer(l, "a"), claimer(l, "b")
		a.fenced, b.fenced = false, false
		_, err := a.claim(ctx)
		assert.NilError(t, err)
		granted := time.Duration(0)
		for began := time.Now(); granted == 0; time.Sleep(time.Second) {
			_, err = b.claim(ctx)
			if err == nil {
				granted = time.Since(began)
			}
			assert.Assert(t, err == nil || errors.Is(err, errNotHeld), "%v", err)
		}
		assert.Assert(t, granted >= quarantine, "%s", granted)
	})
}

// Guards against a claim whose lost answer counts as a grant of another time, and
// against a claim without the records that have expired.
func TestClaimWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		l := &fakeLog{fail: logclient.ErrAmbiguous}
		a, b := claimer(l, "a"), claimer(l, "b")
		_, err := a.claim(ctx)
		assert.Assert(t, errors.Is(err, logclient.ErrAmbiguous))
		_, err = b.claim(ctx)
		assert.Assert(t, errors.Is(err, errNotHeld), "the claim of a is in the log")
		l.first, l.records = l.first+types.Offset(len(l.records)), nil
		c := claimer(l, "c")
		_, err = c.claim(ctx)
		assert.Assert(t, errors.Is(err, errNotHeld), "a holder in expired records may live on: %v", err)
		time.Sleep(leasePeriods*period + time.Second)
		_, err = c.claim(ctx)
		assert.NilError(t, err)
	})
}

// Guards against an order after the time of a claim, such as after a suspension
// that only the boot clock shows.
func TestGrantEnds(t *testing.T) {
	assert.NilError(t, grant{end: bootTime() + time.Hour}.check())
	assert.Assert(t, errors.Is(grant{end: bootTime()}.check(), errLapsed))
	assert.Assert(t, errors.Is(grant{}.check(), errLapsed))
}

// fakeOrderer records orders and answers by a function.
type fakeOrderer struct {
	orders []types.TargetID
	answer func() (authority.Outcome, error)
}

func (o *fakeOrderer) SetRole(e *directory.Target, _ types.Role, _ types.VMID, _ types.FencingNumber, _ func() error) (authority.Outcome, error) {
	o.orders = append(o.orders, e.ID)
	return o.answer()
}

func newKeeper(o *fakeOrderer, place int) *roleKeeper {
	d := directory.New()
	for _, id := range []types.TargetID{"a", "b", "c", "d"} {
		d.Put(directory.Entry{ID: id, Service: "llm", Role: types.RoleDecode, DataCentre: "dc1"})
	}
	g := gateway.New(gateway.Settings{Now: time.Now}, d, nil, nil, nil)
	g.SetTable(routes.NewTable(1, routes.Limits{}, nil, []routes.Service{{Name: "llm", Engine: &routes.Engine{RoleChangeTime: 3 * time.Second}}, {Name: "desk"}}))
	return &roleKeeper{
		log: daemon.NewLogger(io.Discard, "error", "node"), gateway: g, directory: d, targets: o, share: 0.5, self: "vm",
		lease: claimer(&fakeLog{}, "vm"), place: func() int { return place }, away: func(*directory.Target) {}, ordered: map[types.TargetID]orderedRole{},
	}
}

// Guards against orders for engines that are only just missing, against orders
// that are repeated before they show, and against a node that orders before its
// turn.
func TestRoleKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		o := &fakeOrderer{answer: func() (authority.Outcome, error) { return authority.OutcomeAccepted, nil }}
		k, second := newKeeper(o, 0), newKeeper(o, 1)
		run := func(k *roleKeeper, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(roleInterval) {
				k.step(ctx, time.Now())
			}
		}
		run(k, roleSettle)
		assert.Equal(t, len(o.orders), 0)
		run(k, time.Second)
		assert.Equal(t, len(o.orders), 2)
		run(k, roleAgain)
		assert.Equal(t, len(o.orders), 2)
		o.orders = nil
		run(second, roleTurn)
		assert.Equal(t, len(o.orders), 0)
		run(second, 2*roleSettle)
		assert.Equal(t, len(o.orders), 2)
	})
}

// Guards against an order whose answer was lost and that is given again at once,
// and against a refused order that is never given again.
func TestRoleOrderOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		outcome := authority.OutcomeUnknown
		o := &fakeOrderer{answer: func() (authority.Outcome, error) { return outcome, errors.New("lost") }}
		k := newKeeper(o, 0)
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
		assert.Assert(t, len(o.orders) > 4 && len(o.orders) < 14, "%d", len(o.orders))
	})
}
