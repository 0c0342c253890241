package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// orderer sends orders to engines.
type orderer interface {
	SetRole(e *directory.Target, role types.Role, holder types.VMID, fence types.FencingNumber, check func() error) (authority.Outcome, error)
}

const (
	roleInterval = 250 * time.Millisecond
	// roleSettle is how long a deviation from the plan has to last before the
	// first node acts on it; the others wait roleTurn longer for each place in
	// line. Engines that are replaced are missing for a second or two.
	roleSettle = 1500 * time.Millisecond
	roleTurn   = 4 * time.Second
	// roleAgain is how long after its order an engine may still be registered
	// with its old role, besides the time of the change.
	roleAgain = 3 * time.Second
	// maxRolePause bounds the pause after failed attempts.
	maxRolePause = 8 * time.Second
)

// roleKeeper keeps the planned share of prefill engines. It runs on one
// goroutine.
type roleKeeper struct {
	log       *logrus.Entry
	gateway   *gateway.Gateway
	directory *directory.Directory
	targets   orderer
	lease     *leaseClaimer
	self      types.VMID
	share     float64
	// place returns the node's place in line for orders, 0 first.
	place func() int
	// away tells the other nodes that an engine takes no work for now.
	away func(*directory.Target)

	ordered map[types.TargetID]orderedRole
	since   time.Time // since when the plan deviates
	pause   time.Duration
	next    time.Time
}

// orderedRole is an order that may not show in the registrations yet.
type orderedRole struct {
	role  types.Role
	until time.Time
}

func (k *roleKeeper) run(ctx context.Context) {
	k.ordered = map[types.TargetID]orderedRole{}
	for daemon.Sleep(ctx, roleInterval) {
		k.step(ctx, time.Now())
	}
}

// step orders what the plan wants, once it has wanted it for long enough.
func (k *roleKeeper) step(ctx context.Context, now time.Time) {
	changes := k.plan(now)
	if len(changes) == 0 {
		k.since, k.pause = time.Time{}, 0
		return
	}
	if k.since.IsZero() {
		k.since = now
	}
	if now.Before(k.since.Add(roleSettle+time.Duration(k.place())*roleTurn)) || now.Before(k.next) {
		return
	}
	if err := k.order(ctx, changes); err != nil {
		k.pause = min(max(2*k.pause, roleSettle), maxRolePause)
		k.next = now.Add(k.pause)
		k.log.WithError(err).WithField("changes", len(changes)).Info("roles not ordered")
	}
}

// plan returns the orders that the planned share calls for.
func (k *roleKeeper) plan(now time.Time) []planning.ShareChange {
	table := k.gateway.Table()
	if table == nil {
		return nil
	}
	var out []planning.ShareChange
	table.Services(func(s *routes.Service) {
		if s.Engine != nil {
			out = append(out, planning.PlanPrefillShare(k.engines(s, now), k.share)...)
		}
	})
	return out
}

// engines returns the engines of a service that take work, with the roles that
// they have or were ordered to take.
func (k *roleKeeper) engines(s *routes.Service, now time.Time) []planning.Engine {
	var out []planning.Engine
	for _, t := range k.directory.Load().Service(s.Name) {
		if t.Leaving() || t.Role == types.RoleMixed {
			continue
		}
		role := t.Role
		if o, ok := k.ordered[t.ID]; ok && now.Before(o.until) {
			role = o.role
		}
		out = append(out, planning.Engine{ID: t.ID, Group: planning.Group{DataCentre: t.DataCentre}, Role: role})
	}
	return out
}

// order claims the lease and sends the orders.
func (k *roleKeeper) order(ctx context.Context, changes []planning.ShareChange) error {
	g, err := k.lease.claim(ctx)
	if err != nil {
		return err
	}
	k.log.WithField(daemon.FieldFence, g.fence).Info("lease taken")
	var failed error
	for _, c := range changes {
		t := k.directory.Load().Target(c.Engine)
		if t == nil {
			continue
		}
		outcome, err := k.targets.SetRole(t, c.Role, k.self, g.fence, g.check)
		k.log.WithFields(logrus.Fields{
			daemon.FieldTarget: c.Engine, "role": c.Role.String(), fieldOutcome: outcome.String(),
			daemon.FieldFence: g.fence, logrus.ErrorKey: err,
		}).Info("order")
		if outcome == authority.OutcomeAccepted || outcome == authority.OutcomeUnknown {
			k.remember(t, c.Role)
		}
		failed = errors.Join(failed, err)
		if errors.Is(err, errLapsed) {
			break
		}
	}
	return failed
}

func (k *roleKeeper) remember(t *directory.Target, role types.Role) {
	d := roleAgain
	if s := k.gateway.Table().Service(t.Service); s != nil && s.Engine != nil {
		d += s.Engine.RoleChangeTime
	}
	until := time.Now().Add(d)
	k.ordered[t.ID] = orderedRole{role, until}
	// The other nodes hear of it with the load, long before the registration
	// shows the new role.
	t.Load.SuspendUntil(until)
	k.away(t)
}
