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
	// leaseTopic is the stream of the lease that allows orders. It is claimed
	// when an order is due and not renewed.
	leaseTopic = "lentilpick-lease"
	leaseBatch = 1024
	// leasePeriods is the length of the lease in the platform's shortest time
	// between two holders. The holder orders in the first of them only, so that a
	// successor's orders follow later than the platform demands.
	leasePeriods = 2
	// leaseReads bounds the reads of one claim.
	leaseReads = 4
)

// errNotHeld reports that another node holds the lease, or may hold it.
var errNotHeld = errors.New("the lease is not held")

// leaseClaimer claims the lease of all engines when it is needed. It is not
// safe for concurrent use.
type leaseClaimer struct {
	log    logclient.Log
	lease  *authority.Lease
	window time.Duration // in which a holder may order after its claim was sent
	// fenced says that engines refuse the orders of earlier holders. Without it a
	// holder waits until no earlier one can have an order under way.
	fenced bool
	last   grant
}

// leaseScope names the one lease of a deployment in the records, which have a
// field for the data centre that a lease is for.
const leaseScope = "all"

// quarantine is how long an earlier holder may have an order under way: longer
// than machines of the platform are suspended, and than late orders take.
const quarantine = 30 * time.Second

func newLeaseClaimer(log logclient.Log, self authority.Holder, period time.Duration, fenced bool) *leaseClaimer {
	d := leasePeriods * period
	s := authority.Settings{
		DataCentre: leaseScope, Self: self, Duration: d, RenewInterval: period, Margin: authority.MarginFor(d), Quarantine: quarantine,
	}
	return &leaseClaimer{log: log, window: period, fenced: fenced, lease: authority.NewLease(s, time.Now())}
}

// grant is the right to order until it ends.
type grant struct {
	fence types.FencingNumber
	// end is on the clock that counts suspensions of the machine.
	end time.Duration
}

// errLapsed reports a grant that has ended.
var errLapsed = errors.New("the time for orders under this claim is over")

// check reports whether an order may be written now.
func (g grant) check() error {
	if bootTime() >= g.end {
		return errLapsed
	}
	return nil
}

// bootTime returns the time since the machine started, including suspensions,
// which the monotonic clock of the runtime leaves out.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 1<<63 - 1 // without a clock no grant holds
	}
	return time.Duration(ts.Nano())
}

// claim returns a grant, or an error that wraps errNotHeld with the time at
// which to try again.
func (c *leaseClaimer) claim(ctx context.Context) (grant, error) {
	if c.last.check() == nil && c.lease.Held(time.Now()) {
		return c.last, nil
	}
	for range leaseReads {
		if err := c.read(ctx); err != nil {
			return grant{}, err
		}
		sent := bootTime()
		record, at := c.lease.Step(time.Now())
		if record == nil {
			return grant{}, fmt.Errorf("%w; to be asked again in %s", errNotHeld, time.Until(at).Round(time.Millisecond))
		}
		data, err := records.EncodeLease(record)
		if err != nil {
			return grant{}, err
		}
		if _, err := c.log.Append(ctx, leaseTopic, [][]byte{data}); err != nil {
			return grant{}, err
		}
		if err := c.read(ctx); err != nil {
			return grant{}, err
		}
		if g := c.lease.Grant(); g.Fence != 0 && c.lease.Held(time.Now()) {
			if !c.fenced && !g.QuarantineOver(time.Now(), func(types.VMID) bool { return false }) {
				return grant{}, fmt.Errorf("%w: %w", errNotHeld, authority.ErrQuarantine)
			}
			c.last = grant{g.Fence, sent + c.window}
			return c.last, nil
		}
	}
	return grant{}, errNotHeld
}

// read folds the records up to the end of the stream.
func (c *leaseClaimer) read(ctx context.Context) error {
	for {
		b, err := c.log.Read(ctx, leaseTopic, c.lease.NextOffset(), leaseBatch, 0)
		var expired *logclient.ExpiredError
		if errors.As(err, &expired) {
			c.lease.SkipExpired(expired.Oldest, time.Now())
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		for _, r := range b.Records {
			// A record that does not decode counts as one that lies between others.
			rec, _ := records.DecodeLease(r.Data)
			if err := c.lease.Observe(r.Offset, rec, now); err != nil {
				return err
			}
		}
		if c.lease.NextOffset() >= b.Next {
			return nil
		}
	}
}
