package mirror

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

// ErrOtherEra reports that a daemon has listed a feed in another era of the store than the one that
// asks for its changes.
var ErrOtherEra = errors.New("feed was listed in another era of the store")

// ChangesSince returns what a daemon lacks that has applied all records before a position: the
// newest record of each key that has changed since, as a delta to the one at that offset if it
// is retained, in full otherwise. The update ends at from if this daemon has no later records.
// It is only valid for a feed whose keys are never removed, because removed keys are not
// retained. The error is ErrNotListed if the feed was not listed yet, and ErrOtherEra if that
// was in another era than from states.
func (f *Feed) ChangesSince(from types.Position) (feed.Update, error) {
	u, bases, err := f.collectSince(from)
	if err != nil {
		return feed.Update{}, err
	}
	for i, r := range u.Records {
		u.Records[i] = encodeDelta(r, bases[r.Key])
	}
	return u, nil
}

// collectSince returns the update of ChangesSince without deltas, and the bases of them by key.
func (f *Feed) collectSince(at types.Position) (feed.Update, map[string]feed.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		return feed.Update{}, nil, ErrNotListed
	}
	if at.Era != 0 && at.Era != f.era {
		return feed.Update{}, nil, fmt.Errorf("era %d, not %d: %w", f.era, at.Era, ErrOtherEra)
	}
	from := at.Offset
	u, bases := feed.Update{Era: f.era, Since: from, Next: max(from, f.next)}, map[string]feed.Record{}
	for _, r := range f.records {
		if r.Next <= from {
			continue
		}
		u.Records = append(u.Records, r)
		// An older record of the key cannot be the base: this daemon may not have seen a later
		// one that the other has applied instead.
		if base, ok := f.findRecordLocked(r.Key, from); ok {
			bases[r.Key] = base
		}
	}
	slices.SortFunc(u.Records, func(a, b feed.Record) int { return cmp.Compare(a.Next, b.Next) })
	return u, bases, nil
}
