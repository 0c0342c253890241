package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"

	"github.com/lentilpick/lentilpick/daemon"
)

const (
	statusInterval = 250 * time.Millisecond
	// staleAfter is three heartbeat intervals between data centres of 3 s each.
	staleAfter = 9 * time.Second
)

// waitInForce waits until all daemons have the revision of the last change.
func (p *publisher) waitInForce(ctx context.Context) error {
	last := "no status was received"
	for {
		text, done := p.rolloutProgress(ctx)
		if text != "" && text != last {
			fmt.Fprintf(p.err, "revision %d: %s\n", p.revision, text)
			last = text
		}
		if done {
			return nil
		}
		if !daemon.Sleep(ctx, statusInterval) {
			return failf(ErrNotInForce, "revision %d is accepted, but not known to be in force everywhere (%s); check the status again and the daemons named here", p.revision, last)
		}
	}
}

func (p *publisher) rolloutProgress(ctx context.Context) (text string, done bool) {
	r, err := p.client.GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
	if ctx.Err() != nil {
		return "", false // the timeout has expired; the caller reports the last status seen
	}
	if err != nil {
		return "status is not available: " + err.Error(), false
	}
	daemons := latestStatuses(r.Msg.GetDaemons())
	behind := slices.DeleteFunc(slices.Clone(daemons), func(d *adminv1.DaemonStatus) bool { return d.GetRevision() >= p.revision })
	text = fmt.Sprintf("in force on %d of %d daemons", len(daemons)-len(behind), len(daemons))
	if len(behind) == 0 {
		return text, len(daemons) > 0
	}
	return text + ", missing: " + strings.Join(describeDaemons(behind), ", "), false
}

// latestStatuses returns one entry for each daemon. Two control daemons may have received reports
// of one entry daemon at different times. Revisions only grow, so the highest is the latest.
func latestStatuses(list []*adminv1.DaemonStatus) []*adminv1.DaemonStatus {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *adminv1.DaemonStatus) int {
		return cmp.Or(strings.Compare(a.GetKind(), b.GetKind()), strings.Compare(a.GetVm(), b.GetVm()),
			cmp.Compare(b.GetRevision(), a.GetRevision()), cmp.Compare(a.GetAgeMs(), b.GetAgeMs()))
	})
	return slices.CompactFunc(list, func(a, b *adminv1.DaemonStatus) bool {
		return a.GetKind() == b.GetKind() && a.GetVm() == b.GetVm()
	})
}

func describeDaemons(list []*adminv1.DaemonStatus) []string {
	var out []string
	for _, d := range list {
		s := fmt.Sprintf("%s %s at revision %d", d.GetKind(), d.GetVm(), d.GetRevision())
		if age := time.Duration(d.GetAgeMs()) * time.Millisecond; age > staleAfter {
			s += " (no recent report)"
		}
		out = append(out, s)
	}
	return out
}
