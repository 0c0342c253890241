package loadshare

import (
	"time"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// partDataBytes is the size of one part of a long record, which leaves room for the fields
	// before it.
	partDataBytes = maxUpdateBytes - 2*maxVarintBytes - 6
	// maxAssemblies bounds the records in assembly, and with them the memory that messages of
	// unknown senders can occupy: each has at most maxUpdateFragments parts. A change is
	// published by the reader of each data centre, and a region has a few of those.
	maxAssemblies = 32
	// assemblyTimeout is the time after the last part after which an incomplete record is
	// discarded. The parts are sent at once, and hubs delay them by less.
	assemblyTimeout = 2 * time.Second
)

// recordPart is one part of the encoded record of an update that is too long for a message.
type recordPart struct {
	index, count int
	data         []byte
}

// assemblyKey identifies the assembly of the records of one feed of one sender.
type assemblyKey struct {
	sender uint64
	feed   int
}

// assembly collects the parts of one record.
type assembly struct {
	start       uint64 // identifies the run of the sender
	era         types.Era
	since, next types.Offset
	parts       [][]byte // nil where missing
	missing     int
	lastPart    time.Time
}

// assemblies holds the records in assembly: one for each feed and sender, as a sender sends
// the parts of a record before those of the next.
type assemblies map[assemblyKey]*assembly

// add adds a part and returns the update once all its parts are there. The error is
// ErrMalformed if they do not form a record.
func (s assemblies) add(m *message, u *feedUpdate, now time.Time) (feed.Update, bool, error) {
	k := assemblyKey{m.sender, u.index}
	a := s[k]
	if a == nil || a.start != m.start || a.era != m.era || a.since != u.Since || a.next != u.Next || len(a.parts) != u.part.count {
		if a != nil && a.start == m.start && a.era == m.era && u.Next < a.next {
			return feed.Update{}, false, nil // a late part of a record that a newer one replaces
		}
		a = &assembly{start: m.start, era: m.era, since: u.Since, next: u.Next, parts: make([][]byte, u.part.count), missing: u.part.count}
		s.put(k, a)
	}
	a.lastPart = now
	if a.parts[u.part.index] == nil {
		a.parts[u.part.index] = u.part.data
		a.missing--
	}
	if a.missing > 0 {
		return feed.Update{}, false, nil
	}
	delete(s, k)
	r, err := a.record()
	if err != nil {
		return feed.Update{}, false, err
	}
	return feed.Update{Since: a.since, Next: a.next, Records: []feed.Record{r}}, true, nil
}

func (a *assembly) record() (feed.Record, error) {
	var b []byte
	for _, p := range a.parts {
		b = append(b, p...)
	}
	r := fieldReader{b: b}
	out := r.record()
	if r.malformed || len(r.b) > 0 || out.Next != a.next {
		return feed.Record{}, ErrMalformed
	}
	return out, nil
}

// put adds an assembly and discards the least recently used one if there are too many.
func (s assemblies) put(k assemblyKey, a *assembly) {
	if s[k] == nil && len(s) >= maxAssemblies {
		var oldest assemblyKey
		for k, a := range s {
			if o := s[oldest]; o == nil || a.lastPart.Before(o.lastPart) {
				oldest = k
			}
		}
		delete(s, oldest)
	}
	s[k] = a
}

// expire discards the records whose parts have stopped to arrive.
func (s assemblies) expire(now time.Time) {
	for k, a := range s {
		if now.Sub(a.lastPart) > assemblyTimeout {
			delete(s, k)
		}
	}
}
