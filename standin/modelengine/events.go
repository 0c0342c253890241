package modelengine

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// CacheEventKind is the kind of change to a prefix block.
type CacheEventKind string

// Kinds of cache events.
const (
	BlockStored  CacheEventKind = "stored"
	BlockEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of the prefix cache. Sequence numbers start at 1 and
// increase by one with each change, including changes that are not delivered.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// EventSettings sets the delay and the losses of cache events.
type EventSettings struct {
	// Lag is the time after which an event becomes available.
	Lag time.Duration
	// DropEvery drops every n-th event; 0 drops none.
	DropEvery int
}

// maxBufferedEvents bounds the events that an engine buffers. A reader that is
// further behind finds a gap in the sequence numbers.
const maxBufferedEvents = 4096

type timedEvent struct {
	CacheEvent
	recordedAt time.Time
}

// eventLog buffers the newest cache events. It is not safe for concurrent use.
type eventLog struct {
	settings     EventSettings
	lastSequence uint64
	events       []timedEvent
}

func (l *eventLog) add(kind CacheEventKind, block uint64, now time.Time) {
	l.lastSequence++
	if n := l.settings.DropEvery; n > 0 && l.lastSequence%uint64(n) == 0 {
		return
	}
	l.events = append(l.events, timedEvent{CacheEvent{l.lastSequence, kind, block}, now})
	if extra := len(l.events) - maxBufferedEvents; extra > 0 {
		l.events = append(l.events[:0], l.events[extra:]...)
	}
}

// after returns the events with a sequence number above n that are at least Lag
// old.
func (l *eventLog) after(n uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range l.events {
		if e.Sequence > n && now.Sub(e.recordedAt) >= l.settings.Lag {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// SetCacheObserver sets the function that is called for each change of the prefix
// cache; nil means none.
func (e *Engine) SetCacheObserver(f func(CacheEventKind, uint64)) { e.onCacheChange = f }

func (e *Engine) notifyCacheChange(kind CacheEventKind, blocks []uint64) {
	if e.onCacheChange == nil {
		return
	}
	for _, b := range blocks {
		e.onCacheChange(kind, b)
	}
}

// storeBlocks inserts the blocks of a prompt into the prefix cache.
func (e *Engine) storeBlocks(blocks []uint64) {
	stored, evicted := e.cache.insert(blocks)
	e.notifyCacheChange(BlockStored, stored)
	e.notifyCacheChange(BlockEvicted, evicted)
}

// resetCache empties the prefix cache and drops all retained KV caches.
func (e *Engine) resetCache() {
	e.notifyCacheChange(BlockEvicted, e.cache.blocks())
	e.cache = newPrefixCache(e.params.KVTokens / types.BlockTokens)
	e.retained = nil
}
