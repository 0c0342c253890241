package loadshare

import (
	"bytes"
	"encoding/binary"

	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// maxNews bounds the encoded news in one message and leaves room for some items.
	maxNews = 1000
	// maxPieces bounds the messages for one read: with registrations of some 250
	// bytes, 32 of them.
	maxPieces = 8
	// maxNewsRecords bounds the records of one piece of news.
	maxNewsRecords = 16
)

// feedNews is news of one feed.
type feedNews struct {
	index int
	feed.Update
}

// PublishUpdate tells the other daemons what this one has read from a feed. Records
// that are too long for a message, and more than some messages hold, are not
// told; the others read them from the store.
func (s *Exchanger) PublishUpdate(index int, n feed.Update) {
	pieces := splitNews(index, n)
	s.told.Add(int64(len(pieces)))
	s.mu.Lock()
	s.near.news = append(s.near.news, pieces...)
	s.far.news = append(s.far.news, pieces...)
	s.mu.Unlock()
	s.NotifyLoadChange(nil)
}

// splitNews returns news in pieces that follow each other, each of which fits in
// a message. The rest is left out from the first record on that does not.
func splitNews(index int, n feed.Update) (pieces []feedNews) {
	since := n.Since
	for len(n.Records) > 0 && len(pieces) < maxPieces {
		piece := feedNews{index: index, Update: feed.Update{Since: since}}
		for len(n.Records) > 0 {
			longer := piece
			longer.Records = append(piece.Records, n.Records[0])
			longer.Next = n.Records[0].Next
			if len(longer.Records) > maxNewsRecords || len(appendNews(nil, longer)) > maxNews {
				break
			}
			piece, n.Records = longer, n.Records[1:]
		}
		if len(piece.Records) == 0 {
			break
		}
		pieces = append(pieces, piece)
		since = piece.Next
	}
	return pieces
}

// cutNews splits off the news that one message has room for.
func cutNews(news []feedNews) (now, later []feedNews) {
	size := 0
	for i, n := range news {
		size += len(appendNews(nil, n))
		if size > maxNews {
			return news[:i], news[i:]
		}
	}
	return news, nil
}

// UpdatesPublished returns the number of pieces of news that this daemon has published.
func (s *Exchanger) UpdatesPublished() int64 { return s.told.Load() }

// UpdatesMissed returns the number of pieces of news that this daemon could not take,
// so that it had to read the store.
func (s *Exchanger) UpdatesMissed() int64 { return s.missed.Load() }

func appendNews(b []byte, n feedNews) []byte {
	b = append(b, byte(n.index))
	b = binary.AppendUvarint(b, uint64(n.Since))
	b = binary.AppendUvarint(b, uint64(n.Next))
	b = append(b, byte(len(n.Records)))
	for _, r := range n.Records {
		b = binary.AppendUvarint(b, uint64(r.Next))
		b = binary.AppendUvarint(b, uint64(r.DeltaBase))
		b = appendBytes(b, []byte(r.Key))
		b = appendBytes(b, r.Value)
	}
	return b
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// reader decodes the fields of a message. After an error it returns zero values.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > maxValue {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) offset() types.Offset { return types.Offset(r.number()) }

func (r *reader) bytes() []byte {
	n := int(r.number())
	if r.bad || n > len(r.b) {
		r.bad = true
		return nil
	}
	v := bytes.Clone(r.b[:n])
	r.b = r.b[n:]
	return v
}

// decodeNews decodes what the sender has read from the store.
func (m *message) decodeNews(r *reader) {
	for range r.byte() {
		n := feedNews{index: int(r.byte())}
		n.Since, n.Next = r.offset(), r.offset()
		records := r.byte()
		if n.index >= Feeds || records > maxNewsRecords {
			r.bad = true
		}
		if r.bad {
			return
		}
		for range records {
			next, since := r.offset(), r.offset()
			n.Records = append(n.Records, feed.Record{Key: string(r.bytes()), Value: r.bytes(), Next: next, DeltaBase: since})
		}
		m.news = append(m.news, n)
	}
}
