package loadshare

import "encoding/binary"

// bundleHeaderSize is the size of magic, version, flags and the hash of the sender's name.
const bundleHeaderSize = 3 + 8

// bundler packs encoded messages into datagrams. A bundle carries messages of several
// daemons unchanged, so that their claims stay those of the daemons that made them.
type bundler struct {
	sender    uint64
	relay     bool // sets flagRelay
	datagrams [][]byte
	// limit bounds the datagrams. Messages that do not fit are dropped: each daemon repeats
	// its state, so that a newer message makes up for them.
	limit   int
	dropped int64 // messages
}

func (p *bundler) add(message []byte) {
	size := uvarintSize(len(message)) + len(message)
	n := len(p.datagrams)
	if n == 0 || len(p.datagrams[n-1])+size > maxDatagramBytes {
		if n >= p.limit {
			p.dropped++
			return
		}
		p.datagrams = append(p.datagrams, p.header())
		n++
	}
	b := binary.AppendUvarint(p.datagrams[n-1], uint64(len(message)))
	p.datagrams[n-1] = append(b, message...)
}

func (p *bundler) header() []byte {
	flags := byte(flagBundle)
	if p.relay {
		flags |= flagRelay
	}
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, maxDatagramBytes), magic, version, flags), p.sender)
}

// take returns the pending datagrams and removes them.
func (p *bundler) take() [][]byte {
	d := p.datagrams
	p.datagrams = nil
	return d
}

func uvarintSize(n int) int {
	size := 1
	for ; n >= 0x80; n >>= 7 {
		size++
	}
	return size
}

// bundle is a decoded bundle.
type bundle struct {
	sender   uint64
	relay    bool
	messages [][]byte // refer to the datagram
}

func isBundle(b []byte) bool {
	return len(b) >= bundleHeaderSize && b[0] == magic && b[1] == version && b[flagsAt]&flagBundle != 0
}

// decodeBundle decodes a bundle, but not its messages. The error wraps ErrMalformed.
func decodeBundle(b []byte) (bundle, error) {
	if !isBundle(b) {
		return bundle{}, ErrMalformed
	}
	out := bundle{sender: binary.BigEndian.Uint64(b[3:]), relay: b[flagsAt]&flagRelay != 0}
	for b = b[bundleHeaderSize:]; len(b) > 0; {
		size, n := binary.Uvarint(b)
		if n <= 0 || size == 0 || size > uint64(len(b)-n) {
			return bundle{}, ErrMalformed
		}
		out.messages = append(out.messages, b[n:n+int(size)])
		b = b[n+int(size):]
	}
	return out, nil
}
