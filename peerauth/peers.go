package peerauth

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/lentilpick/lentilpick/types"
)

const (
	// numberSize is the size of the number of a message, with which its token begins.
	numberSize = 8
	// TokenSize is the size of the token that Sign returns.
	TokenSize = numberSize + sha256.Size
	// windowSize bounds how many messages of the same sender may overtake one, and the memory: 4 KB
	// for each peer that has sent any. A node has fewer requests in flight at another one.
	windowSize = 512
	// maxRemoved bounds the peers whose windows are kept after their records were removed or replaced:
	// the store may carry out a removal late, and the node writes its record again.
	maxRemoved = 256
	// numbersPerEntry is the number of messages for which an entry of a peer has numbers.
	numbersPerEntry = 1 << 32
)

// Peers holds the keys of the other nodes. It is safe for concurrent use.
type Peers struct {
	identity *Identity
	byName   atomic.Pointer[map[types.VMID]*peer]

	mu      sync.Mutex // serializes Set and guards the fields below
	removed map[types.VMID]*peer
	entries uint64 // created until now
}

// peer is what this node shares with the process that has the public key.
type peer struct {
	public   string
	to, from []byte // keys of the two directions
	// sent is the number of the last message to the peer. The numbers of a later entry of the same
	// peer are higher.
	sent   atomic.Uint64
	window atomic.Pointer[window] // nil until a message was received
}

// Format implements fmt.Formatter, as that of Identity does.
func (*peer) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, "peer") }

// window holds the numbers of the last messages: each slot the highest one that it was used for.
type window [windowSize]atomic.Uint64

// NewPeers returns Peers without keys.
func NewPeers(i *Identity) *Peers {
	p := &Peers{identity: i, removed: map[types.VMID]*peer{}}
	p.byName.Store(&map[types.VMID]*peer{})
	return p
}

// Format implements fmt.Formatter, as that of Identity does.
func (p *Peers) Format(s fmt.State, _ rune) {
	_, _ = io.WriteString(s, "peers of "+string(p.identity.name))
}

// Set replaces the public keys of the other nodes by name. A node with an empty key can neither ask
// nor be asked, nor can those with invalid keys, which the error names; the others are applied.
func (p *Peers) Set(publicKeys map[types.VMID]string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.byName.Load()
	next := make(map[types.VMID]*peer, len(publicKeys))
	var errs []error
	for name, public := range publicKeys {
		if public == "" || name == p.identity.name {
			continue
		}
		known, err := p.entry(old[name], name, public)
		if err != nil {
			errs = append(errs, fmt.Errorf("node %q: %w", name, err))
			continue
		}
		next[name] = known
	}
	for name, known := range old {
		if next[name] != known {
			p.keepRemoved(name, known)
		}
	}
	p.byName.Store(&next)
	return errors.Join(errs...)
}

// entry returns the known entry of a peer if it has the public key, or a new one.
func (p *Peers) entry(listed *peer, name types.VMID, public string) (*peer, error) {
	for _, known := range []*peer{listed, p.removed[name]} {
		if known != nil && known.public == public {
			delete(p.removed, name)
			return known, nil
		}
	}
	to, from, err := p.identity.deriveKeys(name, public)
	if err != nil {
		return nil, err
	}
	delete(p.removed, name)
	p.entries++
	known := &peer{public: public, to: to, from: from}
	known.sent.Store(p.entries * numbersPerEntry)
	return known, nil
}

func (p *Peers) keepRemoved(name types.VMID, known *peer) {
	if known.window.Load() == nil {
		return
	}
	for other := range p.removed {
		if len(p.removed) < maxRemoved {
			break
		}
		delete(p.removed, other)
	}
	p.removed[name] = known
}

// find returns the entry of another node.
func (p *Peers) find(name types.VMID) (*peer, error) {
	if name == p.identity.name {
		return nil, ErrSelf
	}
	if known := (*p.byName.Load())[name]; known != nil {
		return known, nil
	}
	return nil, ErrUnknownPeer
}

// Sign returns the token of a message with the given fields to another node. The error is
// ErrUnknownPeer or ErrSelf.
func (p *Peers) Sign(to types.VMID, fields ...[]byte) ([]byte, error) {
	known, err := p.find(to)
	if err != nil {
		return nil, err
	}
	token := binary.BigEndian.AppendUint64(make([]byte, 0, TokenSize), known.sent.Add(1))
	return appendMAC(token, known.to, token, p.identity.name, to, fields), nil
}

// Verify checks the token of a message with the given fields from another node, and accepts it once.
// The error is one of ErrUnknownPeer, ErrSelf, ErrNotAuthentic and ErrReplayed.
func (p *Peers) Verify(from types.VMID, token []byte, fields ...[]byte) error {
	known, err := p.find(from)
	if err != nil {
		return err
	}
	if len(token) != TokenSize {
		return ErrNotAuthentic
	}
	number, mac := token[:numberSize], token[numberSize:]
	if !hmac.Equal(mac, appendMAC(nil, known.from, number, from, p.identity.name, fields)) {
		return ErrNotAuthentic
	}
	if !known.accept(binary.BigEndian.Uint64(number)) {
		return ErrReplayed
	}
	return nil
}

// accept records the number of an authentic message and reports whether it is new.
func (p *peer) accept(number uint64) bool {
	w := p.window.Load()
	if w == nil {
		p.window.CompareAndSwap(nil, &window{})
		w = p.window.Load()
	}
	slot := &w[number%windowSize]
	for {
		highest := slot.Load()
		if number <= highest {
			return false
		}
		if slot.CompareAndSwap(highest, number) {
			return true
		}
	}
}

func appendMAC(b, key, number []byte, sender, receiver types.VMID, fields [][]byte) []byte {
	message := make([]byte, 0, 512)
	message = appendFields(message, []byte(label), number, []byte(sender), []byte(receiver))
	message = appendFields(message, fields...)
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(message)
	return h.Sum(b)
}

// appendFields appends the number of fields and each field with its length, so that no two lists of
// fields have the same encoding.
func appendFields(b []byte, fields ...[]byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(fields)))
	for _, f := range fields {
		b = append(binary.AppendUvarint(b, uint64(len(f))), f...)
	}
	return b
}
