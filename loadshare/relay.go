package loadshare

import (
	"context"
	"sync"
	"time"
)

// relay collects the messages that this daemon forwards, and its own ones if it is the hub
// of its group, and sends them in bundles. It limits the datagrams per second, not the
// messages: with more traffic, or in a larger group, bundles are sent less often and hold
// more.
type relay struct {
	exchanger *Exchanger
	wake      chan struct{}

	mu            sync.Mutex // not taken on the path of a request
	local, remote bundler
}

func newRelay(e *Exchanger) *relay {
	return &relay{
		exchanger: e, wake: make(chan struct{}, 1),
		local: bundler{sender: e.self}, remote: bundler{sender: e.self, relay: true},
	}
}

// add queues a message for the local group and, if toRemote is set, for the remote ones.
// The message may be changed afterwards.
func (r *relay) add(message []byte, toRemote bool) {
	l := r.exchanger.peers.Load()
	r.mu.Lock()
	r.local.limit, r.remote.limit = r.limit(len(l.others)), r.limit(len(l.remote))
	r.local.add(message)
	if toRemote {
		r.remote.add(message)
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// maxFlushPause is the maximum pause after a flush. It limits the datagrams of a flush.
const maxFlushPause = 500 * time.Millisecond

// limit returns the maximum number of datagrams of one flush to a number of recipients. It
// is at least 2, so that messages pass whatever the rate is.
func (r *relay) limit(recipients int) int {
	perPause := float64(r.exchanger.datagramRate.Load()) * maxFlushPause.Seconds()
	return max(int(perPause)/max(recipients, 1), 2)
}

// dropped returns the number of messages that were not forwarded because too many were
// pending.
func (r *relay) dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local.dropped + r.remote.dropped
}

// minRelayedPause is the minimum pause after a flush in a group with a hub. It lets a bundle
// collect the messages of several daemons, and is short compared with a prefill.
const minRelayedPause = 10 * time.Millisecond

// run sends bundles until the context ends.
func (r *relay) run(ctx context.Context) {
	timer := time.NewTimer(hubHeartbeat)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
			if r.exchanger.isRelayHub(time.Now()) {
				r.sendHeartbeat()
			}
		}
		// The pause after a flush keeps the rate below the limit.
		sent := r.flush(time.Now())
		pause := time.Duration(sent) * time.Second / time.Duration(r.exchanger.datagramRate.Load())
		if r.exchanger.peers.Load().local.relayed() {
			pause = max(pause, minRelayedPause)
		}
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(hubHeartbeat)
	}
}

// flush sends the pending bundles and returns the number of datagrams.
func (r *relay) flush(now time.Time) int {
	r.mu.Lock()
	local, remote := r.local.take(), r.remote.take()
	r.mu.Unlock()
	e := r.exchanger
	within, other := e.recipients(e.peers.Load())
	for _, b := range local {
		e.send(b, within)
	}
	for _, b := range remote {
		e.send(b, other)
	}
	return len(local)*len(within) + len(remote)*len(other)
}

// sendHeartbeat queues an empty bundle, which shows the group that its hub is alive.
func (r *relay) sendHeartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.local.datagrams) == 0 {
		r.local.datagrams = append(r.local.datagrams, r.local.header())
	}
}
