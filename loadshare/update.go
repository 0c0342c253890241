package loadshare

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// maxUpdateBytes bounds the encoded updates in one message. The rest of a datagram of
	// maxMessageBytes is left for target loads.
	maxUpdateBytes = 1000
	// maxUpdateFragments bounds the messages for the changes of one read. With
	// registrations of some 250 bytes, they hold about 90 registrations, as when a third of
	// the engines of a large service change their roles. Changes beyond them make every
	// daemon read the store.
	maxUpdateFragments = 24
	// maxUpdateRecords bounds the records of one fragment.
	maxUpdateRecords = 16
	// maxRepeatedFragments is the length of an update that a daemon publishes although it has
	// received the same changes: the copies make up for lost messages. Longer ones would occupy
	// the hubs, which send each fragment to each daemon of their data centre, so that load is
	// known late.
	maxRepeatedFragments = 4
	// partOfRecord replaces the number of records in a fragment that holds one part of a record.
	partOfRecord = 0xff
	// maxVarintBytes bounds an encoded offset.
	maxVarintBytes = binary.MaxVarintLen64
)

// feedUpdate is an update of the feed with the given index. If part is set, the update has no
// records but one part of its only record.
type feedUpdate struct {
	index int
	feed.Update
	part *recordPart
}

// PublishUpdate sends changes that this daemon has read from a feed to the other daemons.
// It omits the records from the first one on that exceeds maxUpdateFragments messages; the
// other daemons read those from the store. It must be called before the read is recorded.
func (e *Exchanger) PublishUpdate(index int, u feed.Update) {
	fragments := splitUpdate(index, u)
	if len(fragments) > maxRepeatedFragments && e.feeds[index].has(u.Next) {
		return
	}
	for i := range fragments {
		fragments[i].Era = u.Era
	}
	e.updatesPublished.Add(int64(len(fragments)))
	e.mu.Lock()
	e.outbox.updates = append(e.outbox.updates, fragments...)
	e.mu.Unlock()
	e.notify()
}

// splitUpdate splits an update into consecutive fragments that each fit in a message. A record
// that does not fit in one is split into parts. It omits the records from the first one on
// that exceeds maxUpdateFragments.
func splitUpdate(index int, u feed.Update) (fragments []feedUpdate) {
	since := u.Since
	for len(u.Records) > 0 && len(fragments) < maxUpdateFragments {
		fragment := feedUpdate{index: index, Update: feed.Update{Since: since}}
		for len(u.Records) > 0 {
			longer := fragment
			longer.Records = append(fragment.Records, u.Records[0])
			longer.Next = u.Records[0].Next
			if len(longer.Records) > maxUpdateRecords || len(appendUpdate(nil, longer)) > maxUpdateBytes {
				break
			}
			fragment, u.Records = longer, u.Records[1:]
		}
		if len(fragment.Records) > 0 {
			fragments = append(fragments, fragment)
			since = fragment.Next
			continue
		}
		parts := splitRecord(index, since, u.Records[0])
		if len(fragments)+len(parts) > maxUpdateFragments {
			break
		}
		fragments = append(fragments, parts...)
		since, u.Records = u.Records[0].Next, u.Records[1:]
	}
	return fragments
}

// splitRecord splits the encoded record into parts that each fit in a message. All of them have
// the offsets of the whole: the claims in the messages before the last part must not cover it.
func splitRecord(index int, since types.Offset, r feed.Record) (parts []feedUpdate) {
	b := appendRecord(nil, r)
	count := (len(b) + partDataBytes - 1) / partDataBytes
	for i := range count {
		data := b[i*partDataBytes : min((i+1)*partDataBytes, len(b))]
		parts = append(parts, feedUpdate{index, feed.Update{Since: since, Next: r.Next}, &recordPart{i, count, data}})
	}
	return parts
}

// takeUpdates splits updates into those that fit in one message and the remaining ones.
func takeUpdates(updates []feedUpdate) (taken, rest []feedUpdate) {
	size := 0
	for i, u := range updates {
		size += len(appendUpdate(nil, u))
		if size > maxUpdateBytes {
			return updates[:i], updates[i:]
		}
	}
	return updates, nil
}

// UpdatesPublished returns the number of update fragments that this daemon has published.
func (e *Exchanger) UpdatesPublished() int64 { return e.updatesPublished.Load() }

// UpdatesMissed returns the number of received update fragments that this daemon could not
// queue, because changes before them were missing or the queue was full. It reads such
// changes from the store.
func (e *Exchanger) UpdatesMissed() int64 { return e.updatesMissed.Load() }

func appendUpdate(b []byte, u feedUpdate) []byte {
	b = append(b, byte(u.index))
	b = binary.AppendUvarint(b, uint64(u.Since))
	b = binary.AppendUvarint(b, uint64(u.Next))
	if p := u.part; p != nil {
		return appendBytes(append(b, partOfRecord, byte(p.index), byte(p.count)), p.data)
	}
	b = append(b, byte(len(u.Records)))
	for _, r := range u.Records {
		b = appendRecord(b, r)
	}
	return b
}

func appendRecord(b []byte, r feed.Record) []byte {
	b = binary.AppendUvarint(b, uint64(r.Next))
	b = binary.AppendUvarint(b, uint64(r.DeltaBase))
	b = appendBytes(b, []byte(r.Key))
	return appendBytes(b, r.Value)
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// fieldReader decodes the fields of a message. After an error it sets malformed and returns
// zero values.
type fieldReader struct {
	b         []byte
	malformed bool
}

func (r *fieldReader) byte() byte {
	if len(r.b) == 0 {
		r.malformed = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *fieldReader) uint64() uint64 {
	if len(r.b) < 8 {
		r.malformed = true
		return 0
	}
	v := binary.BigEndian.Uint64(r.b)
	r.b = r.b[8:]
	return v
}

func (r *fieldReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxFieldValue {
		r.malformed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// total returns a total since the start of a process, which may exceed maxFieldValue.
func (r *fieldReader) total() int64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > math.MaxInt64 {
		r.malformed = true
		return 0
	}
	r.b = r.b[n:]
	return int64(v)
}

func (r *fieldReader) offset() types.Offset { return types.Offset(r.uvarint()) }

func (r *fieldReader) bytes() []byte {
	n := int(r.uvarint())
	if r.malformed || n > len(r.b) {
		r.malformed = true
		return nil
	}
	v := bytes.Clone(r.b[:n])
	r.b = r.b[n:]
	return v
}

func (m *message) decodeUpdates(r *fieldReader) {
	for range r.byte() {
		u := feedUpdate{index: int(r.byte())}
		u.Since, u.Next = r.offset(), r.offset()
		records := r.byte()
		if u.index >= Feeds || records > maxUpdateRecords && records != partOfRecord {
			r.malformed = true
		}
		if r.malformed {
			return
		}
		if records == partOfRecord {
			u.part = r.recordPart()
		} else {
			for range records {
				u.Records = append(u.Records, r.record())
			}
		}
		m.updates = append(m.updates, u)
	}
}

func (r *fieldReader) record() feed.Record {
	next, base := r.offset(), r.offset()
	return feed.Record{Key: string(r.bytes()), Value: r.bytes(), Next: next, DeltaBase: base}
}

func (r *fieldReader) recordPart() *recordPart {
	p := &recordPart{index: int(r.byte()), count: int(r.byte()), data: r.bytes()}
	if p.index >= p.count || p.count > maxUpdateFragments || len(p.data) == 0 || len(p.data) > partDataBytes {
		r.malformed = true
	}
	return p
}
