package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/planning"
	"github.com/lentilpick/lentilpick/types"
)

// roleSetter sends orders to engines. Just before it sends an order it calls check, and it sends
// nothing if check fails.
type roleSetter interface {
	SetRole(e *directory.Target, role types.Role, holder types.VMID, fence types.FencingNumber, check func() error) (authority.Outcome, error)
}

const (
	roleInterval = 250 * time.Millisecond
	// roleSettleTime is how long the roles have to deviate from the plan before the first-ranked
	// node sends orders. Engines that are being replaced are missing for 1 to 2 s.
	roleSettleTime = 1500 * time.Millisecond
	// roleTakeoverStep is the additional delay of each further rank.
	roleTakeoverStep = 4 * time.Second
	// registrationLag is how long, in addition to the time of the role change, an engine may still
	// be registered with its old role after an order.
	registrationLag = 3 * time.Second
	// maxRoleBackoff is the maximum delay after failed attempts to send orders.
	maxRoleBackoff = 8 * time.Second
)

// roleController maintains the planned share of prefill engines by orders to change roles. Every node
// follows the demand, so that the next one can take over with the same plan. It is not safe for
// concurrent use.
type roleController struct {
	log       *logrus.Entry
	gateway   *gateway.Gateway
	directory *directory.Directory
	targets   roleSetter
	lease     *leaseClaimer
	self      types.VMID
	// fixedShare is the share of prefill engines that an operator has set, from 0 to 1. With 0 it
	// follows the demand.
	fixedShare float64
	// bootstrap indicates that the whole deployment starts for the first time, so that the roles of
	// the engines do not result from an earlier plan.
	bootstrap bool
	// demand returns the work that callers of all nodes have offered for a service so far.
	demand func(types.ServiceID) demand.Work
	// rank returns the rank of this node; the node of rank 0 sends orders first.
	rank func() int
	// linkLost reports whether this node has lost its link to the engines.
	linkLost func() bool
	// notifySuspended publishes to the other nodes that an engine takes no requests until its role
	// has changed.
	notifySuspended func(*directory.Target)

	services      map[types.ServiceID]*serviceRoles
	ordered       map[types.TargetID]orderedRole
	deviatesSince time.Time // zero while the roles match the plan
	backoff       time.Duration
	nextAttempt   time.Time
}

// orderedRole is the role of an order that the registrations may not show before until.
type orderedRole struct {
	role  types.Role
	until time.Time
}

func (k *roleController) run(ctx context.Context) {
	k.ordered, k.services = map[types.TargetID]orderedRole{}, map[types.ServiceID]*serviceRoles{}
	for daemon.Sleep(ctx, roleInterval) {
		k.step(ctx, time.Now())
	}
}

// step sends the planned orders once the roles have deviated from the plan for long enough. A node
// without a link to the engines waits as if they matched, so that the next one sends the orders.
func (k *roleController) step(ctx context.Context, now time.Time) {
	changes := k.plan(now)
	if len(changes) == 0 || k.linkLost() {
		k.deviatesSince, k.backoff = time.Time{}, 0
		return
	}
	if k.deviatesSince.IsZero() {
		k.deviatesSince = now
	}
	if now.Before(k.deviatesSince.Add(roleSettleTime+time.Duration(k.rank())*roleTakeoverStep)) || now.Before(k.nextAttempt) {
		return
	}
	if err := k.sendOrders(ctx, changes); err != nil {
		k.backoff = min(max(2*k.backoff, roleSettleTime), maxRoleBackoff)
		k.nextAttempt = now.Add(k.backoff)
		k.log.WithError(err).WithField("changes", len(changes)).Info("failed to send role orders")
	}
}

// errLinkLost reports that this node has lost its link to the engines.
var errLinkLost = errors.New("link to the engines lost")

// sendOrders claims the lease and sends an order for each change. It stops when the grant expires,
// the link to the engines is lost or ctx ends. An order that was sent by then is recorded and published.
func (k *roleController) sendOrders(ctx context.Context, changes []planning.ShareChange) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	g, err := k.lease.claim(ctx)
	if err != nil {
		return err
	}
	k.log.WithField(daemon.FieldFencingNumber, g.fence).Info("lease taken")
	check := func() error {
		if k.linkLost() {
			return errLinkLost
		}
		return errors.Join(ctx.Err(), g.check())
	}
	var failed error
	for _, c := range changes {
		if err := ctx.Err(); err != nil {
			return errors.Join(failed, err)
		}
		t := k.directory.Load().Target(c.Engine)
		if t == nil {
			continue
		}
		outcome, err := k.targets.SetRole(t, c.Role, k.self, g.fence, check)
		k.log.WithFields(logrus.Fields{
			daemon.FieldTarget: c.Engine, "role": c.Role.String(), fieldOutcome: outcome.String(),
			daemon.FieldFencingNumber: g.fence, logrus.ErrorKey: err,
		}).Info("order")
		if outcome == authority.OutcomeAccepted || outcome == authority.OutcomeUnknown {
			k.recordOrder(t, c.Role)
		}
		failed = errors.Join(failed, err)
		if errors.Is(err, errGrantExpired) || errors.Is(err, errLinkLost) {
			break
		}
	}
	return failed
}

func (k *roleController) recordOrder(t *directory.Target, role types.Role) {
	d := registrationLag
	if s := k.gateway.Table().Service(t.Service); s != nil && s.Engine != nil {
		d += s.Engine.RoleChangeTime
	}
	until := time.Now().Add(d)
	k.ordered[t.ID] = orderedRole{role, until}
	// The load messages bring the suspension to the other nodes long before the registration
	// shows the new role.
	t.Load.SuspendUntil(until)
	k.notifySuspended(t)
}
