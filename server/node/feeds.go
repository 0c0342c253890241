package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/routes"
	"github.com/lentilpick/lentilpick/types"
)

// reregistrationTime is how long after an outage of the store a target stays in use although its
// registration expired meanwhile. Targets register again within about 2 s, but the bound on
// sending requests to stopped targets allows slightly less.
const reregistrationTime = 1500 * time.Millisecond

// outageLogger logs once when a source becomes unavailable and once when it is available again.
type outageLogger struct {
	log  *logrus.Entry
	lost bool
}

func (o *outageLogger) logLost(err error, unavailable time.Duration) {
	if !o.lost {
		o.log.WithError(err).WithField(fieldUnavailable, millis(unavailable)).Warn("dependency lost")
	}
	o.lost = true
}

func (o *outageLogger) logRegained() {
	if o.lost {
		o.log.Info("dependency regained")
	}
	o.lost = false
}

const (
	fieldUnavailable = "away_ms"
	fieldSource      = "source"
	fieldChange      = "change"
	fieldKey         = "key"
	// fieldRecordSource is the way by which the node received a record, fieldOffset the offset
	// after the record, and fieldAppliedOffset the offset up to which the node had applied the
	// feed before. fieldOwnRead and fieldPeerRead are the ages of the last read by this node and
	// by any other node, as last known before the record, and fieldSender names the node that
	// reported the latter.
	fieldRecordSource  = "learned"
	fieldOffset        = "offset"
	fieldAppliedOffset = "known_offset"
	fieldOwnRead       = "own_read_ms"
	fieldPeerRead      = "told_read_ms"
	fieldSender        = "teller"
	// fieldEra is the era of the store.
	fieldEra = "era"
	// fieldThrough is the offset up to which, by the claims of other nodes, no further records
	// exist.
	fieldThrough = "through_offset"
	// fieldRecords, fieldBytes, fieldReason and fieldFailures describe a call that follows a feed:
	// the records that it returned and the size of their values, its reason, and how many calls
	// have failed in a row. fieldSkipped is the number of records that were not decoded because
	// newer ones replace them, and fieldNewest reports a call for the newest record only.
	fieldRecords  = "records"
	fieldBytes    = "bytes"
	fieldReason   = "reason"
	fieldFailures = "failures"
	fieldSkipped  = "skipped"
	fieldNewest   = "newest"
	// fieldInvalid is the number of entries of a configuration that are left out.
	fieldInvalid = "invalid"
)

// feedCallLogger logs the calls that follow one feed. Successful calls without records are not
// logged.
type feedCallLogger struct {
	log      *logrus.Entry
	index    int // of the feed
	counters *counters
	// level is the level of successful calls. Registrations change too often for the default level.
	level    logrus.Level
	failures int
}

// logResult is the OnResult function of feed.Schedule. Failed calls are logged one by one: the pause
// after each of them bounds their number, and an outage at one node cannot be told from reads that
// never finish without their durations.
func (l *feedCallLogger) logResult(r feed.CallResult) {
	e := l.log.WithFields(logrus.Fields{
		fieldReason: r.Reason.String(), fieldElapsed: millis(r.Duration), fieldAppliedOffset: r.From, fieldOffset: r.Next,
		fieldRecords: r.Records, fieldBytes: r.Bytes, fieldSkipped: r.Skipped, fieldNewest: r.Newest,
	})
	l.counters.countFeedCall(l.index, r)
	if r.Err != nil {
		l.failures++
		e.WithError(r.Err).WithField(fieldFailures, l.failures).Info("feed call failed")
		return
	}
	if l.failures > 0 || r.Records > 0 {
		e.WithField(fieldFailures, l.failures).Log(l.level, "feed read")
	}
	l.failures = 0
}

// configHandler applies configurations to the gateway. It implements feed.Handler.
type configHandler struct {
	outageLogger
	gateway  *gateway.Gateway
	counters *counters
	onLoaded func()
	// readState returns the read state of the configuration feed, for the log.
	readState func() loadshare.ReadState
}

// HandleListing implements feed.Handler.
func (f *configHandler) HandleListing(l feed.Listing[*routes.Table], _ time.Duration) {
	f.logRegained()
	f.fold(l.Items, sourceListing)
}

// HandleChanges implements feed.Handler.
func (f *configHandler) HandleChanges(items []feed.Item[*routes.Table], _ time.Duration) []feed.Item[*routes.Table] {
	f.logRegained()
	return f.fold(items, sourceRead)
}

// HandlePeerUpdate implements feed.Handler.
func (f *configHandler) HandlePeerUpdate(items []feed.Item[*routes.Table], _ time.Duration) {
	f.fold(items, sourcePeer)
}

// Values of fieldRecordSource.
const (
	sourceListing = "list"
	sourceRead    = "read"
	sourcePeer    = "told"
)

func (f *configHandler) fold(items []feed.Item[*routes.Table], source string) (changed []feed.Item[*routes.Table]) {
	skipped := 0
	for _, i := range items {
		switch {
		case i.Err != nil:
			f.counters.rejected.Add(context.Background(), 1)
			f.log.WithError(i.Err).Error("configuration could not be decoded; skipped")
		case i.Skipped:
			skipped++
		case i.Value == nil:
		case f.gateway.SetTable(*i.Value):
			k := f.readState()
			f.log.WithFields(logrus.Fields{
				fieldConfig: (*i.Value).Version, "routes": (*i.Value).RouteCount(), fieldRecordSource: source, fieldOffset: i.Next,
				fieldAppliedOffset: k.Next, fieldOwnRead: millis(k.Local), fieldPeerRead: millis(k.Peer), fieldSender: k.Sender, fieldThrough: k.ClaimedUpTo,
				fieldSkipped: skipped,
			}).Info("configuration in force")
			f.logProblems(*i.Value)
			f.onLoaded()
			changed = append(changed, i)
		}
	}
	return changed
}

// maxLoggedProblems bounds the entries of one configuration that are logged one by one.
const maxLoggedProblems = 8

// logProblems logs the entries of workspaces that are left out of a configuration.
func (f *configHandler) logProblems(t *routes.Table) {
	if t.Workspaces == nil {
		return
	}
	problems := t.Workspaces.Problems()
	if len(problems) == 0 {
		return
	}
	f.log.WithError(errors.Join(problems[:min(len(problems), maxLoggedProblems)]...)).WithFields(logrus.Fields{
		fieldConfig: t.Version, fieldInvalid: len(problems),
	}).Warn("configuration has invalid entries of workspaces; left out")
}

// HandleFailure implements feed.Handler.
func (f *configHandler) HandleFailure(err error, unavailable time.Duration) {
	f.logLost(err, unavailable)
}

// registrationHandler applies registrations to the directory. It implements feed.Handler.
type registrationHandler struct {
	outageLogger
	directory *directory.Directory
	// graceUntil is the time until which a removed registration counts as expired during an
	// outage, so that its target stays in use until then.
	graceUntil time.Time
	onLoaded   func()
	// onChange, if not nil, is called after changes of the registered targets.
	onChange func()
}

// HandleListing implements feed.Handler.
func (f *registrationHandler) HandleListing(l feed.Listing[directory.Entry], unavailable time.Duration) {
	f.logRegained()
	grace := f.grace(unavailable)
	var all []directory.Entry
	var unusable []types.TargetID
	for _, i := range l.Items {
		switch {
		case i.Value != nil:
			all = append(all, *i.Value)
		case i.Err != nil:
			unusable = append(unusable, types.TargetID(i.Key))
		}
		f.logMalformed(i)
	}
	f.logChanges(f.directory.Replace(all, unusable, time.Now(), grace))
	f.onLoaded()
}

// HandleChanges implements feed.Handler.
func (f *registrationHandler) HandleChanges(items []feed.Item[directory.Entry], unavailable time.Duration) []feed.Item[directory.Entry] {
	f.logRegained()
	return f.foldAll(items, unavailable)
}

// HandlePeerUpdate implements feed.Handler.
func (f *registrationHandler) HandlePeerUpdate(items []feed.Item[directory.Entry], unavailable time.Duration) {
	f.foldAll(items, unavailable)
}

func (f *registrationHandler) foldAll(items []feed.Item[directory.Entry], unavailable time.Duration) (changed []feed.Item[directory.Entry]) {
	grace := f.grace(unavailable)
	now := time.Now()
	var changes []directory.Change
	f.directory.Batch(func(b *directory.Batch) {
		for _, i := range items {
			c, relevant := fold(b, i, now, grace)
			changes = append(changes, c...)
			if relevant {
				changed = append(changed, i)
			}
		}
	})
	for _, i := range items {
		f.logMalformed(i)
	}
	f.logChanges(changes)
	if len(changes) > 0 && f.onChange != nil {
		f.onChange()
	}
	return changed
}

// fold applies one record to the directory. It returns the resulting changes, and whether the record
// is to be published to other nodes. A removal always is, also one that only takes effect after the
// grace period.
func fold(b *directory.Batch, i feed.Item[directory.Entry], now time.Time, grace time.Duration) (changes []directory.Change, relevant bool) {
	switch {
	case i.Err != nil:
		return nil, false
	case i.Value != nil:
		changes = b.Put(*i.Value)
		return changes, len(changes) > 0
	}
	return b.Remove(types.TargetID(i.Key), now, grace), true
}

// grace returns how long removed targets stay in use. Registrations expire during an outage of the
// store, so removals that are read shortly after it do not mean that the targets have stopped.
func (f *registrationHandler) grace(unavailable time.Duration) time.Duration {
	now := time.Now()
	if unavailable > 0 {
		f.graceUntil = now.Add(reregistrationTime)
	}
	return max(f.graceUntil.Sub(now), 0)
}

func (f *registrationHandler) logMalformed(i feed.Item[directory.Entry]) {
	if i.Err != nil {
		f.log.WithError(i.Err).WithField(fieldKey, i.Key).Debug("registration could not be decoded; skipped")
	}
}

// HandleFailure implements feed.Handler.
func (f *registrationHandler) HandleFailure(err error, unavailable time.Duration) {
	f.logLost(err, unavailable)
}

func (f *registrationHandler) logChanges(changes []directory.Change) { logChanges(f.log, changes) }

func logChanges(log *logrus.Entry, changes []directory.Change) {
	for _, c := range changes {
		log.WithFields(logrus.Fields{
			daemon.FieldTarget: c.ID, daemon.FieldService: c.Service, fieldChange: c.Kind,
		}).Info("target changed")
	}
}
