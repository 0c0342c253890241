package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/records"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// leaseTopic is the stream of the lease whose holder may send orders. A node claims the lease
	// when an order is due, and does not renew it.
	leaseTopic = "lentilpick-lease"
	// leaseReadBatch is the maximum number of records of one read.
	leaseReadBatch = 1024
	// leasePeriods is the duration of the lease as a multiple of the platform's minimum time
	// between the orders of two holders. The holder sends orders in the first of these periods
	// only, so that the orders of a successor come later than the platform requires.
	leasePeriods = 2
	// maxClaimAttempts bounds the records that one call of claim appends.
	maxClaimAttempts = 4
	// maxLeaseRestarts bounds how often one read of the stream begins again, because its records have
	// expired or the store has returned from an older copy meanwhile.
	maxLeaseRestarts = 3
	// maxFillers bounds the records that are appended at once to raise the number of the next claim.
	maxFillers = 1024
)

var (
	// errLeaseNotHeld reports that another node holds the lease, or may hold it.
	errLeaseNotHeld = errors.New("lease not held by this node")
	// errOlderMembers reports that engines, which do not check fencing numbers, might get a lower one from
	// a node of an older release afterwards.
	errOlderMembers = errors.New("no orders after a return of the store beside nodes of an older release")
	// errLeaseUnread reports that the stream of the lease changed while it was read.
	errLeaseUnread = errors.New("stream of the lease changed while it was read")
)

// leaseClaimer claims the lease for orders to all engines. It is not safe for concurrent use.
type leaseClaimer struct {
	log   logclient.Log
	lease *authority.Lease
	// orderWindow is the time after a claim was sent in which its holder may send orders.
	orderWindow time.Duration
	// fenced reports whether engines refuse the orders of earlier holders. If they do not, a new
	// holder waits until no order of an earlier one can be in progress.
	fenced bool
	// era returns the newest known era of the store.
	era func() types.Era
	// olderMembers reports whether a node of the fleet runs a release whose fencing numbers do not
	// depend on the era.
	olderMembers func() bool
	lastGrant    grant
}

// leaseScope identifies the lease in its records, in the field for the data centre of a lease: a
// deployment has one lease for all of them.
const leaseScope = "all"

// quarantine is how long an order of an earlier holder may be in progress. It is longer than
// suspensions of the platform's machines and than delayed orders take.
const quarantine = 30 * time.Second

func newLeaseClaimer(log logclient.Log, self authority.Holder, period time.Duration, fenced bool, era func() types.Era, olderMembers func() bool) *leaseClaimer {
	d := leasePeriods * period
	s := authority.Settings{
		DataCentre: leaseScope, Self: self, Duration: d, RenewInterval: period, Margin: authority.MarginFor(d), Quarantine: quarantine,
	}
	return &leaseClaimer{log: log, orderWindow: period, fenced: fenced, era: era, olderMembers: olderMembers, lease: authority.NewLease(s, time.Now())}
}

// grant is the permission to send orders until end.
type grant struct {
	fence types.FencingNumber
	// end is a time of bootTime's clock.
	end time.Duration
	// claimedIn is the era of the store with the claim, and era returns the newest known one. nil stands
	// for a store without eras.
	claimedIn types.Era
	era       func() types.Era
}

// errGrantExpired reports that the end of a grant has passed, or that the store may have lost its claim.
var errGrantExpired = errors.New("grant to send orders has expired")

// check returns errGrantExpired if no order may be sent under the grant any more.
func (g grant) check() error {
	if bootTime() >= g.end || g.era != nil && g.era() > g.claimedIn {
		return errGrantExpired
	}
	return nil
}

// bootTime returns the time since the machine started, including suspensions, which the monotonic
// clock of the Go runtime does not count.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 1<<63 - 1 // without the clock every grant counts as expired
	}
	return time.Duration(ts.Nano())
}

// claim returns the current grant, or claims the lease and returns a new one. The error wraps
// errLeaseNotHeld if another node may hold the lease, and gives the time until the next attempt
// if it is determined.
func (c *leaseClaimer) claim(ctx context.Context) (grant, error) {
	if c.lastGrant.check() == nil && c.lease.Held(time.Now()) {
		return c.lastGrant, nil
	}
	for range maxClaimAttempts {
		if err := c.readLog(ctx); err != nil {
			return grant{}, err
		}
		if !c.fenced && c.lease.Era() > types.FirstEra && c.olderMembers() {
			return grant{}, errOlderMembers
		}
		if n := c.lease.MissingRecords(); n > 0 {
			if err := c.appendFillers(ctx, n); err != nil {
				return grant{}, err
			}
			continue
		}
		sent := bootTime()
		record, at := c.lease.Step(time.Now())
		if record == nil {
			return grant{}, fmt.Errorf("%w; next attempt possible in %s", errLeaseNotHeld, time.Until(at).Round(time.Millisecond))
		}
		data, err := records.EncodeLease(record)
		if err != nil {
			return grant{}, err
		}
		if _, err := c.log.Append(ctx, leaseTopic, [][]byte{data}); err != nil {
			return grant{}, err
		}
		if err := c.readLog(ctx); err != nil {
			return grant{}, err
		}
		if g := c.lease.Grant(); g.Fence != 0 && c.lease.Held(time.Now()) {
			if !c.fenced && !g.QuarantineOver(time.Now(), func(types.VMID) bool { return false }) {
				return grant{}, fmt.Errorf("%w: %w", errLeaseNotHeld, authority.ErrQuarantine)
			}
			c.lastGrant = grant{g.Fence, sent + c.orderWindow, c.lease.Era(), c.era}
			return c.lastGrant, nil
		}
	}
	return grant{}, errLeaseNotHeld
}

// appendFillers appends records that say nothing, each of which raises the number of the next claim.
func (c *leaseClaimer) appendFillers(ctx context.Context, n int) error {
	fillers := make([][]byte, min(n, maxFillers))
	for i := range fillers {
		fillers[i] = []byte("{}")
	}
	_, err := c.log.Append(ctx, leaseTopic, fillers)
	return err
}

// readLog applies the records up to the end of the stream to the state of the lease. The error wraps
// errLeaseUnread if that takes too many attempts.
func (c *leaseClaimer) readLog(ctx context.Context) error {
	for restarts := 0; restarts <= maxLeaseRestarts; {
		from := c.lease.NextOffset()
		b, err := c.log.Read(ctx, leaseTopic, from, leaseReadBatch, 0)
		now := time.Now()
		var expired *logclient.ExpiredError
		switch {
		case errors.As(err, &expired):
			restarts++
			if !c.lease.EnterEra(expired.Era, now) && expired.Oldest <= from {
				c.lease.Return(now) // the stream ends before from
			}
			c.lease.SkipExpired(expired.Oldest, now)
			continue
		case err != nil:
			return err
		case b.Era < c.lease.Era():
			return errLeaseUnread
		case c.lease.EnterEra(b.Era, now):
			restarts++
			continue
		case b.Next < from:
			restarts++
			c.lease.Return(now)
			continue
		}
		for _, r := range b.Records {
			// A record that cannot be decoded is passed on as nil, so that its offset counts.
			rec, _ := records.DecodeLease(r.Data)
			if err := c.lease.Observe(r.Offset, rec, now); err != nil {
				return err
			}
		}
		if c.lease.NextOffset() >= b.Next {
			return nil
		}
	}
	return errLeaseUnread
}
