// Package loadshare tells the other daemons how much work this daemon has on
// each target and which prompt parts the engines have read, so that all daemons
// choose targets by the same load. Messages are datagrams: each states absolute
// values, so that a lost one is made good by the next.
package loadshare

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/directory"
)

// ErrMalformed reports a datagram that does not decode.
var ErrMalformed = errors.New("load message does not decode")

const (
	magic      = 0x6c
	version    = 4
	headerSize = 3 + 8 + 8 + 8
	// flagRelay asks the receiver to pass the message on in its data centre.
	flagRelay = 1
	// flagsAt is the position of the flags in a datagram.
	flagsAt = 2
	// maxMessage keeps a datagram within one Ethernet frame.
	maxMessage = 1400
	// maxParts bounds the prompt parts of one target in one message.
	maxParts = 16
)

// message is the state of some targets as one daemon sees it.
type message struct {
	sender uint64 // hash of the daemon's name
	start  uint64 // identifies the run of the daemon
	seq    uint64
	sent   clock.Instant // on the sender's clock, in whole milliseconds
	relay  bool
	claims [Feeds]claim
	news   []feedNews
	items  []item
}

// item is the work of the sender on one target.
type item struct {
	target uint64
	work   directory.Work
	// silent says that the sender finds the target silent.
	silent bool
	parts  []uint64
}

// silentFlag is set in the number of parts of an item.
const silentFlag = 0x80

func (m *message) appendHeader(b []byte) []byte {
	b = append(b, magic, version, 0)
	b = binary.BigEndian.AppendUint64(b, m.sender)
	b = binary.BigEndian.AppendUint64(b, m.start)
	b = binary.BigEndian.AppendUint64(b, m.seq)
	b = binary.AppendUvarint(b, uint64(m.sent)/uint64(time.Millisecond))
	for _, c := range m.claims {
		// An age is rounded up: a feed must not look fresher than it is.
		b = binary.AppendUvarint(b, uint64((c.age+time.Millisecond-1)/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(c.changed))
		b = binary.AppendUvarint(b, uint64(c.base-c.changed))
		b = binary.AppendUvarint(b, uint64(c.through-c.base))
	}
	b = append(b, byte(len(m.news)))
	for _, n := range m.news {
		b = appendNews(b, n)
	}
	return b
}

func appendItem(b []byte, i *item) []byte {
	b = binary.BigEndian.AppendUint64(b, i.target)
	w := i.work
	for _, v := range []int64{w.Requests, w.PrefillTokens, w.PrefillPrompts, w.Streams, w.StreamTokens, w.KVInserted} {
		b = binary.AppendUvarint(b, uint64(max(v, 0)))
	}
	n := byte(len(i.parts))
	if i.silent {
		n |= silentFlag
	}
	b = append(b, n)
	for _, p := range i.parts {
		b = binary.BigEndian.AppendUint64(b, p)
	}
	return b
}

// decode decodes a datagram. The error wraps ErrMalformed.
func decode(b []byte) (*message, error) {
	if len(b) < headerSize || b[0] != magic || b[1] != version {
		return nil, ErrMalformed
	}
	m := &message{
		sender: binary.BigEndian.Uint64(b[3:]), start: binary.BigEndian.Uint64(b[11:]), seq: binary.BigEndian.Uint64(b[19:]),
		relay: b[flagsAt]&flagRelay != 0,
	}
	r := reader{b: b[headerSize:]}
	m.sent = clock.Instant(time.Duration(r.number()) * time.Millisecond)
	m.decodeClaims(&r)
	m.decodeNews(&r)
	if r.bad {
		return nil, ErrMalformed
	}
	b = r.b
	for len(b) > 0 {
		i, rest, ok := decodeItem(b)
		if !ok {
			return nil, ErrMalformed
		}
		m.items, b = append(m.items, i), rest
	}
	return m, nil
}

// decodeClaims decodes what the sender tells of its reads of the feeds.
func (m *message) decodeClaims(r *reader) {
	for i := range m.claims {
		c := claim{age: time.Duration(r.number()) * time.Millisecond, changed: r.offset()}
		c.base = c.changed + r.offset()
		c.through = c.base + r.offset()
		m.claims[i] = c
	}
}

// maxValue bounds a value of an item; a larger one is an error of the sender.
const maxValue = 1 << 40

func decodeItem(b []byte) (item, []byte, bool) {
	var i item
	if len(b) < 8 {
		return i, nil, false
	}
	i.target, b = binary.BigEndian.Uint64(b), b[8:]
	for _, v := range []*int64{&i.work.Requests, &i.work.PrefillTokens, &i.work.PrefillPrompts, &i.work.Streams, &i.work.StreamTokens, &i.work.KVInserted} {
		u, n := binary.Uvarint(b)
		if n <= 0 || u > maxValue {
			return i, nil, false
		}
		*v, b = int64(u), b[n:]
	}
	if len(b) < 1 {
		return i, nil, false
	}
	n := int(b[0] &^ silentFlag)
	if n > maxParts || len(b) < 1+8*n {
		return i, nil, false
	}
	i.silent = b[0]&silentFlag != 0
	for b = b[1:]; n > 0; n-- {
		i.parts, b = append(i.parts, binary.BigEndian.Uint64(b)), b[8:]
	}
	return i, b, true
}
