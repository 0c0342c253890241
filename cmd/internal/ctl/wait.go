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
	statusPause = 250 * time.Millisecond
	// silentAfter is three heartbeats between data centres of 3 s each.
	silentAfter = 9 * time.Second
)

// waitInForce waits until all daemons have the revision of the last change.
func (p *publisher) waitInForce(ctx context.Context) error {
	last := "status gave no answer"
	for {
		text, done := p.progress(ctx)
		if text != "" && text != last {
			fmt.Fprintf(p.err, "revision %d: %s\n", p.revision, text)
			last = text
		}
		if done {
			return nil
		}
		if !daemon.Sleep(ctx, statusPause) {
			return failf(ErrNotInForce, "revision %d is accepted, but %s; look at status again, and at the daemons named here", p.revision, last)
		}
	}
}

func (p *publisher) progress(ctx context.Context) (text string, done bool) {
	r, err := p.client.GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
	if ctx.Err() != nil {
		return "", false // the time is over; what was seen last is reported
	}
	if err != nil {
		return "status is not available: " + err.Error(), false
	}
	all := newest(r.Msg.GetDaemons())
	behind := slices.DeleteFunc(slices.Clone(all), func(d *adminv1.DaemonStatus) bool { return d.GetRevision() >= p.revision })
	text = fmt.Sprintf("in force on %d of %d daemons", len(all)-len(behind), len(all))
	if len(behind) == 0 {
		return text, len(all) > 0
	}
	return text + ", missing: " + strings.Join(describe(behind), ", "), false
}

// newest returns one entry for each daemon. Two control daemons may have heard
// of one entry daemon at different times; revisions only grow, so the highest
// one counts.
func newest(list []*adminv1.DaemonStatus) []*adminv1.DaemonStatus {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *adminv1.DaemonStatus) int {
		return cmp.Or(strings.Compare(a.GetKind(), b.GetKind()), strings.Compare(a.GetVm(), b.GetVm()),
			cmp.Compare(b.GetRevision(), a.GetRevision()), cmp.Compare(a.GetAgeMs(), b.GetAgeMs()))
	})
	return slices.CompactFunc(list, func(a, b *adminv1.DaemonStatus) bool {
		return a.GetKind() == b.GetKind() && a.GetVm() == b.GetVm()
	})
}

func describe(list []*adminv1.DaemonStatus) []string {
	var out []string
	for _, d := range list {
		s := fmt.Sprintf("%s %s at revision %d", d.GetKind(), d.GetVm(), d.GetRevision())
		if age := time.Duration(d.GetAgeMs()) * time.Millisecond; age > silentAfter {
			s += " (not heard of lately)"
		}
		out = append(out, s)
	}
	return out
}
