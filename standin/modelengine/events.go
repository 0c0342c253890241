package modelengine

import (
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// CacheEventKind says what happened to a prefix block.
type CacheEventKind string

// Kinds of cache event.
const (
	BlockStored  CacheEventKind = "stored"
	BlockEvicted CacheEventKind = "evicted"
)

// CacheEvent is one change of the prefix cache. Sequence numbers start at 1
// and grow by one with each change, including those that are not delivered.
type CacheEvent struct {
	Sequence uint64         `json:"seq"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// EventSettings says how late and how incomplete cache events are.
type EventSettings struct {
	// Lag is the time after which an event can be read.
	Lag time.Duration
	// DropEvery leaves out every n-th event; 0 leaves out none.
	DropEvery int
}

// maxEvents bounds the events that an engine keeps for its readers. A reader
// that is further behind sees a gap in the sequence numbers.
const maxEvents = 4096

type timedEvent struct {
	CacheEvent
	at time.Time
}

// eventLog keeps the newest cache events. It is not safe for concurrent use.
type eventLog struct {
	settings EventSettings
	next     uint64
	events   []timedEvent
}

func (l *eventLog) add(kind CacheEventKind, block uint64, now time.Time) {
	l.next++
	if n := l.settings.DropEvery; n > 0 && l.next%uint64(n) == 0 {
		return
	}
	l.events = append(l.events, timedEvent{CacheEvent{l.next, kind, block}, now})
	if extra := len(l.events) - maxEvents; extra > 0 {
		l.events = append(l.events[:0], l.events[extra:]...)
	}
}

// after returns the events with a sequence number over n that are at least
// Lag old.
func (l *eventLog) after(n uint64, now time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range l.events {
		if e.Sequence > n && now.Sub(e.at) >= l.settings.Lag {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// OnCacheChange sets the function that is told of each change of the prefix
// cache; nil for none.
func (e *Engine) SetCacheObserver(f func(CacheEventKind, uint64)) { e.cacheChanged = f }

func (e *Engine) notifyCache(kind CacheEventKind, blocks []uint64) {
	if e.cacheChanged == nil {
		return
	}
	for _, b := range blocks {
		e.cacheChanged(kind, b)
	}
}

// storeBlocks puts the blocks of a prompt into the prefix cache.
func (e *Engine) storeBlocks(blocks []uint64) {
	stored, evicted := e.cache.insert(blocks)
	e.notifyCache(BlockStored, stored)
	e.notifyCache(BlockEvicted, evicted)
}

// resetCache empties the prefix cache and drops all kept KV.
func (e *Engine) resetCache() {
	e.notifyCache(BlockEvicted, e.cache.blocks())
	e.cache = newPrefixCache(e.params.KVTokens / types.BlockTokens)
	e.kept = nil
}
