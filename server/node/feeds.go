package node

import (
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

// returnTime is how long after the return of the store a registration that
// lapsed meanwhile may be missing. Targets register again within about two
// seconds; the bound on work for targets that have gone leaves a little less.
const returnTime = 1500 * time.Millisecond

// outage logs once when a source is lost and once when it is back.
type outage struct {
	log  *logrus.Entry
	away bool
}

func (o *outage) failed(err error, away time.Duration) {
	if !o.away {
		o.log.WithError(err).WithField(fieldAway, millis(away)).Warn("dependency lost")
	}
	o.away = true
}

func (o *outage) back() {
	if o.away {
		o.log.Info("dependency regained")
	}
	o.away = false
}

const (
	fieldAway   = "away_ms"
	fieldSource = "source"
	fieldChange = "change"
	fieldKey    = "key"
	// fieldLearned says how a node has learned of a record, fieldOffset is the
	// offset after it, and fieldKnown the one up to which the node knew the feed
	// before. fieldOwnRead and fieldToldRead are the ages of the freshest reads by
	// the node and by the others, as it believed before, and fieldTeller names the
	// node that told the latter.
	fieldLearned  = "learned"
	fieldOffset   = "offset"
	fieldKnown    = "known_offset"
	fieldOwnRead  = "own_read_ms"
	fieldToldRead = "told_read_ms"
	fieldTeller   = "teller"
	// fieldThrough is the offset up to which other nodes have claimed that there is
	// nothing more to know.
	fieldThrough = "through_offset"
)

// configFeed puts configurations in force. It implements feed.Handler.
type configFeed struct {
	outage
	gateway *gateway.Gateway
	loaded  func()
	// knowledge says what is known of the feed.
	knowledge func() loadshare.ReadState
}

// HandleListing implements feed.Handler.
func (f *configFeed) HandleListing(l feed.Listing[*routes.Table], away time.Duration) {
	f.back()
	f.fold(l.Items, byList)
}

// HandleChanges implements feed.Handler.
func (f *configFeed) HandleChanges(items []feed.Item[*routes.Table], _ time.Duration) []feed.Item[*routes.Table] {
	f.back()
	return f.fold(items, byRead)
}

// HandlePeerUpdate implements feed.Handler.
func (f *configFeed) HandlePeerUpdate(items []feed.Item[*routes.Table], _ time.Duration) {
	f.fold(items, byTelling)
}

// Ways by which a node learns of a record.
const (
	byList    = "list"
	byRead    = "read"
	byTelling = "told"
)

func (f *configFeed) fold(items []feed.Item[*routes.Table], learned string) (changed []feed.Item[*routes.Table]) {
	for _, i := range items {
		switch {
		case i.Err != nil:
			f.log.WithError(i.Err).Error("configuration does not decode; it is passed over")
		case i.Value == nil:
		case f.gateway.SetTable(*i.Value):
			k := f.knowledge()
			f.log.WithFields(logrus.Fields{
				fieldConfig: (*i.Value).Version, "routes": (*i.Value).RouteCount(), fieldLearned: learned, fieldOffset: i.Next,
				fieldKnown: k.Next, fieldOwnRead: millis(k.Local), fieldToldRead: millis(k.Peer), fieldTeller: k.Sender, fieldThrough: k.ClaimedUpTo,
			}).Info("configuration in force")
			f.loaded()
			changed = append(changed, i)
		}
	}
	return changed
}

// HandleFailure implements feed.Handler.
func (f *configFeed) HandleFailure(err error, away time.Duration) { f.failed(err, away) }

// registrationFeed folds registrations into the directory. It implements
// feed.Handler.
type registrationFeed struct {
	outage
	directory *directory.Directory
	// graceUntil is the end of the time in which removals count as lapses.
	graceUntil time.Time
	loaded     func()
}

// HandleListing implements feed.Handler.
func (f *registrationFeed) HandleListing(l feed.Listing[directory.Entry], away time.Duration) {
	f.back()
	grace := f.grace(away)
	var all []directory.Entry
	for _, i := range l.Items {
		if i.Value != nil {
			all = append(all, *i.Value)
		}
		f.malformed(i)
	}
	f.changed(f.directory.Replace(all, time.Now(), grace))
	f.loaded()
}

// HandleChanges implements feed.Handler.
func (f *registrationFeed) HandleChanges(items []feed.Item[directory.Entry], away time.Duration) []feed.Item[directory.Entry] {
	f.back()
	return f.foldAll(items, away)
}

// HandlePeerUpdate implements feed.Handler.
func (f *registrationFeed) HandlePeerUpdate(items []feed.Item[directory.Entry], away time.Duration) {
	f.foldAll(items, away)
}

func (f *registrationFeed) foldAll(items []feed.Item[directory.Entry], away time.Duration) (changed []feed.Item[directory.Entry]) {
	grace := f.grace(away)
	now := time.Now()
	for _, i := range items {
		if f.fold(i, now, grace) {
			changed = append(changed, i)
		}
	}
	return changed
}

// fold folds one record and reports whether it may matter to other nodes. A
// removal does, also one that is not believed yet.
func (f *registrationFeed) fold(i feed.Item[directory.Entry], now time.Time, grace time.Duration) bool {
	switch {
	case i.Err != nil:
		f.malformed(i)
		return false
	case i.Value != nil:
		changes := f.directory.Put(*i.Value)
		f.changed(changes)
		return len(changes) > 0
	}
	f.changed(f.directory.Remove(types.TargetID(i.Key), now, grace))
	return true
}

// grace returns how long removed targets stay in use. After an outage of the
// store the removals of the first seconds tell of lapsed registrations.
func (f *registrationFeed) grace(away time.Duration) time.Duration {
	now := time.Now()
	if away > 0 {
		f.graceUntil = now.Add(returnTime)
	}
	return max(f.graceUntil.Sub(now), 0)
}

func (f *registrationFeed) malformed(i feed.Item[directory.Entry]) {
	if i.Err != nil {
		f.log.WithError(i.Err).WithField(fieldKey, i.Key).Debug("registration is not usable; it is passed over")
	}
}

// HandleFailure implements feed.Handler.
func (f *registrationFeed) HandleFailure(err error, away time.Duration) {
	f.failed(err, away)
}

func (f *registrationFeed) changed(changes []directory.Change) { logChanges(f.log, changes) }

func logChanges(log *logrus.Entry, changes []directory.Change) {
	for _, c := range changes {
		log.WithFields(logrus.Fields{
			daemon.FieldTarget: c.ID, daemon.FieldService: c.Service, fieldChange: c.Kind,
		}).Info("target changed")
	}
}
