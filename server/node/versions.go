package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/versions"
)

const (
	// versionsWait is the time for which a read waits for changed plans. A longer one costs fewer
	// calls, but the reads that others report are then older than versionsPropagation allows.
	versionsWait = 1500 * time.Millisecond
	// versionsPropagation is versions.Settings.Propagation. It covers the longest time between two
	// reads (see maxReadGap) with a failed call to the store and one versionsInterval: by then a
	// node knows whether the store fails.
	versionsPropagation = 4 * time.Second
	// maxStreamAge bounds versions.Settings.MaxAge, which is the longest time-out of the routes whose
	// streams may be resumed.
	maxStreamAge = time.Minute
	// versionsInterval is the time between two checks of the plans.
	versionsInterval = 500 * time.Millisecond
	// appearedHold and missingHold are how long a difference to the plan has to last before a new one
	// is written. Registrations that lapsed during an outage of the store are back within some 2 s.
	appearedHold = time.Second
	missingHold  = 3 * time.Second
	// versionsRetryInterval is the time until the next attempt of the first node after a failed write.
	versionsRetryInterval = 2 * time.Second
	// versionsWriteTimeout bounds the calls of one write.
	versionsWriteTimeout = 3 * time.Second
)

// Fields of log lines about software versions.
const (
	fieldPlan     = "plan"
	fieldNextPlan = "next_plan"
	fieldEarlier  = "earlier_plans"
	fieldSequence = "sequence"
)

func newVersionTable(viewAge time.Duration, now func() clock.Instant) *versions.Table {
	return versions.NewTable(versions.Settings{Propagation: versionsPropagation, MaxAge: maxStreamAge, ViewAge: viewAge, Now: now})
}

// versionHandler applies the records of versionsTopic. It implements feed.Handler.
type versionHandler struct {
	outageLogger
	table    *versions.Table
	onLoaded func()
	// failing reports whether the latest call of this node to the store failed.
	failing atomic.Bool
}

// HandleListing implements feed.Handler.
func (h *versionHandler) HandleListing(l feed.Listing[versions.Record], _ time.Duration) {
	h.failing.Store(false)
	h.logRegained()
	h.fold(l.Items)
	h.table.SetStored(storedVersions(l.Items))
	h.onLoaded()
}

// HandleChanges implements feed.Handler. It returns also the records that this node has written and
// therefore applied already, because the others have not.
func (h *versionHandler) HandleChanges(items []feed.Item[versions.Record], _ time.Duration) (changed []feed.Item[versions.Record]) {
	h.failing.Store(false)
	h.logRegained()
	h.fold(items)
	for _, i := range items {
		if i.Value != nil {
			changed = append(changed, i)
		}
	}
	return changed
}

// HandlePeerUpdate implements feed.Handler.
func (h *versionHandler) HandlePeerUpdate(items []feed.Item[versions.Record], _ time.Duration) {
	h.fold(items)
}

// HandleFailure implements feed.Handler.
func (h *versionHandler) HandleFailure(err error, unavailable time.Duration) {
	h.failing.Store(true)
	h.logLost(err, unavailable)
}

func (h *versionHandler) fold(items []feed.Item[versions.Record]) {
	for _, i := range items {
		switch {
		case i.Err != nil:
			h.log.WithError(i.Err).WithField(fieldKey, i.Key).Error("plan of software versions could not be decoded; skipped")
		case i.Value != nil && h.table.Apply(types.ServiceID(i.Key), *i.Value):
			versionFields(h.log, types.ServiceID(i.Key), *i.Value).Info("plan of software versions")
		}
	}
}

// storedVersions returns the records of a listing.
func storedVersions(items []feed.Item[versions.Record]) map[types.ServiceID]versions.Record {
	stored := make(map[types.ServiceID]versions.Record, len(items))
	for _, i := range items {
		if i.Value != nil {
			stored[types.ServiceID(i.Key)] = *i.Value
		}
	}
	return stored
}

func versionFields(log *logrus.Entry, id types.ServiceID, r versions.Record) *logrus.Entry {
	e := log.WithFields(logrus.Fields{
		daemon.FieldService: id, fieldSequence: r.Sequence, fieldPlan: formatPlan(r.Current), fieldEarlier: len(r.Previous),
	})
	if r.Next != nil {
		e = e.WithField(fieldNextPlan, formatPlan(*r.Next))
	}
	return e
}

// formatPlan returns the weights of the versions, such as "v1=10 v2=4".
func formatPlan(p versions.Plan) string {
	var b strings.Builder
	for i, s := range p.Shares {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%.40s=%d", s.Version, s.Weight)
	}
	return b.String()
}

// versionStore writes keyed records on condition of the end of their topic.
type versionStore interface {
	PutAt(ctx context.Context, topic, key string, value []byte, end types.Offset) error
}

// versionPlanner keeps the plans of the software versions in accordance with the registered targets.
// Any node may write a plan; the first by rank does so first. plan and update run in one goroutine
// each.
type versionPlanner struct {
	log       *logrus.Entry
	counters  *counters
	table     *versions.Table
	directory *directory.Directory
	store     versionStore
	source    feed.Source[versions.Record]
	now       func() clock.Instant
	rank      func() int
	// confirmed returns a time as of which the table has the newest records.
	confirmed func(now clock.Instant) clock.Instant
	// viewed returns the same for the registrations.
	viewed func(now clock.Instant) clock.Instant
	// registered reports whether the registrations are loaded.
	registered func() bool
	// mayWrite reports whether this node knows the records and the targets, and the store answers.
	mayWrite func() bool
	due      map[types.ServiceID]dueProposal // used by plan only
}

// dueProposal is a record that is needed since a time. This node writes it only after earliest, which
// a failed attempt sets.
type dueProposal struct {
	reason          versions.Reason
	since, earliest clock.Instant
}

// update passes the registered targets to the table, and the time as of which it has the newest
// records, until the context ends.
func (p *versionPlanner) update(ctx context.Context) {
	for {
		if p.registered() {
			registerVersions(p.table, p.directory)
		}
		p.table.Confirm(p.confirmed(p.now()))
		p.table.ConfirmView(p.viewed(p.now()))
		if !daemon.Sleep(ctx, versionsInterval) {
			return
		}
	}
}

// registerVersions passes the numbers of targets that can begin streams to the table.
func registerVersions(table *versions.Table, d *directory.Directory) {
	targets := map[types.ServiceID]map[types.SoftwareVersion]int{}
	for _, id := range table.Services() {
		targets[id] = nil
	}
	d.Load().All(func(t *directory.Target) {
		if t.Leaving() || t.Role == types.RolePrefill {
			return
		}
		if targets[t.Service] == nil {
			targets[t.Service] = map[types.SoftwareVersion]int{}
		}
		targets[t.Service][t.Version]++
	})
	for id, counts := range targets {
		table.Register(id, counts)
	}
}

// plan writes the records that are needed until the context ends.
func (p *versionPlanner) plan(ctx context.Context) {
	for daemon.Sleep(ctx, versionsInterval) {
		if !p.mayWrite() {
			continue
		}
		for _, id := range p.table.Services() {
			if p.isDue(id) {
				p.write(ctx, id)
			}
		}
	}
}

// isDue reports whether the service has needed a record for as long as this node has to wait.
func (p *versionPlanner) isDue(id types.ServiceID) bool {
	_, reason, ok := p.table.Propose(id, 0)
	if !ok {
		delete(p.due, id)
		return false
	}
	d, known := p.due[id]
	if !known || d.reason != reason {
		d = dueProposal{reason: reason, since: p.now()}
		if reason == versions.ReasonLost {
			// The loss may have lasted while an earlier plan was on its way.
			d.since = min(d.since, p.table.LostSince(id))
		}
		p.due[id] = d
	}
	return p.now().Sub(d.since) >= p.delay(reason) && p.now() >= d.earliest
}

// steps returns by how many steps this node acts later than the first one.
func (p *versionPlanner) steps() time.Duration { return time.Duration(min(p.rank(), maxTakeoverSteps)) }

// delay returns how long this node waits before it writes a record. Those that follow from an
// earlier record, and the first one, are written at once by the first node.
func (p *versionPlanner) delay(r versions.Reason) time.Duration {
	d := p.steps() * versionsInterval
	switch r {
	case versions.ReasonAppeared:
		return d + appearedHold
	case versions.ReasonLost, versions.ReasonShares:
		return d + missingHold
	}
	return d
}

// write reads the newest records and writes the one of the service that is still needed, unless
// another node writes to the topic meanwhile.
func (p *versionPlanner) write(ctx context.Context, id types.ServiceID) {
	ctx, cancel := context.WithTimeout(ctx, versionsWriteTimeout)
	defer cancel()
	l, err := p.source.List(ctx)
	if err != nil {
		p.fail(id, err)
		return
	}
	for _, i := range l.Items {
		if i.Err != nil && i.Key == string(id) {
			p.fail(id, i.Err) // it may be of a later release, and must not be replaced
			return
		}
	}
	stored := storedVersions(l.Items)
	for service, r := range stored {
		p.table.Apply(service, r)
	}
	p.table.SetStored(stored)
	r, reason, ok := p.table.Propose(id, rand.Uint64())
	if !ok {
		return
	}
	value, err := encodeVersions(r)
	if err == nil {
		err = p.store.PutAt(ctx, versionsTopic, string(id), value, l.Next)
	}
	if err != nil {
		p.fail(id, err)
		return
	}
	p.table.Apply(id, r)
	p.counters.countVersionRecord(reason)
	versionFields(p.log, id, r).WithField(fieldReason, reason).Info("plan of software versions written")
}

// fail logs a failed write and delays the next attempt.
func (p *versionPlanner) fail(id types.ServiceID, err error) {
	d := p.due[id]
	d.earliest = p.now().Add(versionsRetryInterval * (1 + p.steps()))
	p.due[id] = d
	p.log.WithError(err).WithField(daemon.FieldService, id).Info("failed to write the plan of software versions")
}

// newestAsOf returns a time as of which this node has the newest records of a feed. While the store fails
// for this node but most of the others are heard and report no newer ones, the store fails for all of
// them, so that none of them can write or read one. A node that is cut off from most others has no such
// proof.
func (n *Node) newestAsOf(index int, h *versionHandler) func(clock.Instant) clock.Instant {
	return func(now clock.Instant) clock.Instant {
		s := n.exchanger.ReadState(index, now)
		age := s.Local
		if !s.Pending {
			age = min(age, s.Peer)
		}
		lacks := s.Pending || n.exchanger.Feed(index).KnownUpTo() > max(s.Next, s.ClaimedUpTo)
		if h.failing.Load() && !lacks && n.versionsLoaded.Load() && n.hearsMajority() {
			age = 0
		}
		return now.Add(-age)
	}
}

// hearsMajority reports whether this node and those from which it has recently received messages are
// more than half of the nodes of the region.
func (n *Node) hearsMajority() bool {
	members := n.peers.Load()
	if members == nil {
		return false
	}
	all := 1
	for _, m := range *members {
		if n.machine.Regions[m.DataCentre] == n.machine.Regions[n.machine.DataCentre] {
			all++
		}
	}
	return 2*(n.exchanger.LivePeers()+1) > all
}
