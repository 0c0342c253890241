package loadshare

import "sync/atomic"

// Carrier is a live daemon that accepts requests of other daemons.
type Carrier struct {
	Peer
	// Hash is the hash of the name.
	Hash     uint64
	requests *atomic.Int64
}

// Requests returns the requests that the daemon has in progress on targets, by its last message.
func (c Carrier) Requests() int64 { return c.requests.Load() }

// SetCarrying sets the function that reports whether this daemon accepts requests of others. It is
// called for each message and must not call the Exchanger. Without it the daemon accepts none.
func (e *Exchanger) SetCarrying(f func() bool) {
	e.mu.Lock()
	e.carrying = f
	e.mu.Unlock()
	e.notify()
}

// NotifyCarrying reports that the result of the function of SetCarrying may have changed. A change
// is sent with the next message, at the latest after the batch window.
func (e *Exchanger) NotifyCarrying() { e.notify() }

// Carriers returns the live daemons that accept requests of others. It takes no lock. The list must
// not be changed; a new one replaces it when a daemon joins or leaves it, while the numbers of
// requests follow the messages.
func (e *Exchanger) Carriers() []Carrier { return *e.carriers.Load() }

// HandleCarriers sets the function that receives each list of Carriers, in order. It must not call
// the Exchanger.
func (e *Exchanger) HandleCarriers(f func([]Carrier)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.carriersHandler = f
	f(e.Carriers())
}

// updateCarriers replaces the list of carriers. The caller holds e.mu.
func (e *Exchanger) updateCarriers() {
	l := e.peers.Load()
	list := []Carrier{}
	for _, g := range append([]group{l.local}, l.remote...) {
		for i, h := range g.hashes {
			if p := e.peerStates[h]; p != nil && p.carries {
				list = append(list, Carrier{g.members[i], h, &p.requests})
			}
		}
	}
	e.carriers.Store(&list)
	e.carriersHandler(list)
}
