// Package loadshare exchanges load between daemons: the work that each daemon has on each
// target and the prompt parts that engines have cached, so that all daemons choose targets
// by the same load. It also publishes how far each daemon has read the feeds of the store,
// and the changes found there. Messages are datagrams with absolute values of the load, so
// that the next message makes up for a lost one.
package loadshare

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/clock"
	"github.com/lentilpick/lentilpick/crashguard"
	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/types"
)

// ErrMalformed reports a datagram that does not decode.
var ErrMalformed = errors.New("malformed load message")

const (
	magic      = 0x6c
	version    = 9
	headerSize = 3 + 8 + 8
	// flagsAt is the index of the flags byte in a datagram.
	flagsAt = 2
	// maxDatagramBytes keeps a datagram within one Ethernet frame, and maxMessageBytes
	// leaves room for the header of a bundle.
	maxDatagramBytes = 1400
	maxMessageBytes  = maxDatagramBytes - bundleHeaderSize - 2
	// maxParts bounds the prompt parts of one target in one message.
	maxParts = 16
	// maxDemand bounds the services in one message. Deployments have a few services with
	// engines.
	maxDemand = 4
	// maxLimits bounds the limits of targets in one message.
	maxLimits = 4
	// maxLeaving bounds the lifetimes of leaving targets in one message.
	maxLeaving = 4
)

// Flags of a datagram.
const (
	// flagRelay requests that the receiver forwards the message: one that comes from a
	// daemon of its own data centre to all data centres, a bundle within its own.
	flagRelay = 1 << iota
	// flagClaims marks a message with claims.
	flagClaims
	// flagFull marks a message that lists all work in progress of its sender.
	flagFull
	// flagBundle marks a bundle of messages.
	flagBundle
	// flagCarries marks a message of a daemon that accepts requests of other daemons. Daemons
	// of earlier versions ignore it and do not set it.
	flagCarries
)

// message is a decoded datagram: the claims and updates of one daemon on the feeds and its
// load on some targets.
type message struct {
	sender uint64 // hash of the daemon's name
	start  uint64 // random identifier of the run of the daemon's process
	seq    uint64
	// relay, full and carries are flagRelay, flagFull and flagCarries.
	relay, full, carries bool
	// hasClaims reports whether sent and claims are set.
	hasClaims bool
	// era is the era of the store of all offsets, 0 if the sender has not stated one.
	era     types.Era
	sent    clock.Instant // on the sender's clock, in whole milliseconds
	claims  [Feeds]claim
	updates []feedUpdate
	leaving []directory.Lifetime
	limits  []targetLimit
	crashes crashguard.Update
	demand  []serviceDemand
	loads   []targetLoad
}

// serviceDemand is the work that callers have offered to the sender for one service since
// its start.
type serviceDemand struct {
	service uint64 // hash of its name
	work    demand.Work
}

// targetLoad is the load of the sender on one target.
type targetLoad struct {
	target uint64
	work   directory.Work
	// stalled indicates that the sender sees no progress on the target.
	stalled bool
	parts   []uint64 // keys of prompt parts that the target has cached
}

// stalledFlag is the bit for stalled in the byte that holds the number of parts.
const stalledFlag = 0x80

func (m *message) appendHeader(b []byte) []byte {
	b = append(b, magic, version, m.flags())
	b = binary.BigEndian.AppendUint64(b, m.sender)
	b = binary.BigEndian.AppendUint64(b, m.start)
	b = binary.AppendUvarint(b, m.seq)
	if m.hasClaims {
		b = m.appendClaims(b)
	}
	b = append(b, byte(len(m.updates)))
	for _, u := range m.updates {
		b = appendUpdate(b, u)
	}
	b = append(b, byte(len(m.leaving)))
	for _, l := range m.leaving {
		b = binary.BigEndian.AppendUint64(b, l.Target)
		b = binary.BigEndian.AppendUint64(b, uint64(l.StartedAt))
	}
	b = appendLimits(b, m.limits)
	b = appendCrashes(b, &m.crashes)
	b = append(b, byte(len(m.demand)))
	for _, d := range m.demand {
		b = binary.BigEndian.AppendUint64(b, d.service)
		for _, v := range d.work.Fields() {
			b = binary.AppendUvarint(b, uint64(max(*v, 0)))
		}
	}
	return b
}

func (m *message) flags() (f byte) {
	if m.relay {
		f |= flagRelay
	}
	if m.hasClaims {
		f |= flagClaims
	}
	if m.full {
		f |= flagFull
	}
	if m.carries {
		f |= flagCarries
	}
	return f
}

func (m *message) appendClaims(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(m.sent)/uint64(time.Millisecond))
	for _, c := range m.claims {
		// Ages are rounded up, so that a feed never appears fresher than it is.
		b = binary.AppendUvarint(b, uint64((c.age+time.Millisecond-1)/time.Millisecond))
		b = binary.AppendUvarint(b, uint64(c.changed))
		b = binary.AppendUvarint(b, uint64(c.base-c.changed))
		b = binary.AppendUvarint(b, uint64(c.readUpTo-c.base))
	}
	return b
}

func appendTargetLoad(b []byte, l *targetLoad) []byte {
	b = binary.BigEndian.AppendUint64(b, l.target)
	w := l.work
	for _, v := range []int64{w.Requests, w.PrefillTokens, w.PrefillPrompts, w.Streams, w.StreamTokens, w.KVInserted, w.Sent} {
		b = binary.AppendUvarint(b, uint64(max(v, 0)))
	}
	n := byte(len(l.parts))
	if l.stalled {
		n |= stalledFlag
	}
	b = append(b, n)
	for _, p := range l.parts {
		b = binary.BigEndian.AppendUint64(b, p)
	}
	return b
}

// decode decodes a message. The error wraps ErrMalformed.
func decode(b []byte) (*message, error) {
	m := &message{}
	return m, m.decode(b)
}

// decode decodes a message into m, and reuses its memory. The error wraps ErrMalformed.
func (m *message) decode(b []byte) error {
	if len(b) < headerSize || b[0] != magic || b[1] != version || b[flagsAt]&flagBundle != 0 {
		return ErrMalformed
	}
	flags := b[flagsAt]
	*m = message{
		sender: binary.BigEndian.Uint64(b[3:]), start: binary.BigEndian.Uint64(b[11:]),
		relay: flags&flagRelay != 0, full: flags&flagFull != 0, carries: flags&flagCarries != 0, hasClaims: flags&flagClaims != 0,
		leaving: m.leaving[:0], limits: m.limits[:0], demand: m.demand[:0], loads: m.loads[:0],
	}
	r := fieldReader{b: b[headerSize:]}
	m.seq = r.uvarint()
	if m.hasClaims {
		m.sent = clock.Instant(time.Duration(r.uvarint()) * time.Millisecond)
		m.decodeClaims(&r)
	}
	m.decodeUpdates(&r)
	m.decodeLeaving(&r)
	m.decodeLimits(&r)
	m.crashes = decodeCrashes(&r)
	m.decodeDemand(&r)
	if r.malformed {
		return ErrMalformed
	}
	b = r.b
	for len(b) > 0 {
		l, rest, ok := decodeTargetLoad(b)
		if !ok {
			return ErrMalformed
		}
		b = rest
		if l.target == eraTarget {
			m.era = types.Era(l.work.Requests)
			continue
		}
		m.loads = append(m.loads, l)
	}
	return nil
}

func (m *message) decodeLeaving(r *fieldReader) {
	n := r.byte()
	if n > maxLeaving {
		r.malformed = true
	}
	for ; n > 0 && !r.malformed; n-- {
		m.leaving = append(m.leaving, directory.Lifetime{Target: r.uint64(), StartedAt: int64(r.uint64())})
	}
}

func (m *message) decodeDemand(r *fieldReader) {
	n := r.byte()
	if n > maxDemand {
		r.malformed = true
	}
	for ; n > 0 && !r.malformed; n-- {
		d := serviceDemand{service: r.uint64()}
		for _, v := range d.work.Fields() {
			*v = r.total()
		}
		m.demand = append(m.demand, d)
	}
}

func (m *message) decodeClaims(r *fieldReader) {
	for i := range m.claims {
		c := claim{age: time.Duration(r.uvarint()) * time.Millisecond, changed: r.offset()}
		c.base = c.changed + r.offset()
		c.readUpTo = c.base + r.offset()
		m.claims[i] = c
	}
}

// maxFieldValue bounds a decoded number. A message with a larger one is malformed.
const maxFieldValue = 1 << 40

func decodeTargetLoad(b []byte) (targetLoad, []byte, bool) {
	var l targetLoad
	if len(b) < 8 {
		return l, nil, false
	}
	l.target, b = binary.BigEndian.Uint64(b), b[8:]
	for _, v := range []*int64{&l.work.Requests, &l.work.PrefillTokens, &l.work.PrefillPrompts, &l.work.Streams, &l.work.StreamTokens, &l.work.KVInserted, &l.work.Sent} {
		u, n := binary.Uvarint(b)
		if n <= 0 || u > maxFieldValue {
			return l, nil, false
		}
		*v, b = int64(u), b[n:]
	}
	if len(b) < 1 {
		return l, nil, false
	}
	n := int(b[0] &^ stalledFlag)
	if n > maxParts || len(b) < 1+8*n {
		return l, nil, false
	}
	l.stalled = b[0]&stalledFlag != 0
	for b = b[1:]; n > 0; n-- {
		l.parts, b = append(l.parts, binary.BigEndian.Uint64(b)), b[8:]
	}
	return l, b, true
}
