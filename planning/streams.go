package planning

import "time"

// maxKVUtilisation is the share of an engine's KV cache that streams can use before the
// engine preempts some of them.
const maxKVUtilisation = 0.85

// StreamModel converts the time of streams into the time for which they keep one decode
// engine busy. An engine is busy if all its slots, or its KV cache, are used. Streams take
// longer on an engine with more of them, so that the time that was measured beside few
// others is too short for a full engine.
type StreamModel struct {
	// Slots and KVTokens are the limits of an engine. KVTokens may be 0 for unlimited.
	Slots, KVTokens int
	// Slowdown is the relative increase of the time of a stream with each further one on
	// its engine.
	Slowdown float64
	// Streams is the mean number of streams on an engine while the times were measured.
	Streams float64
}

// BusyTime returns the time for which streams keep one engine busy that occupy slots for
// slotTime and KV cache for kvTime, in token-milliseconds.
func (m StreamModel) BusyTime(slotTime time.Duration, kvTime int64) time.Duration {
	if slotTime <= 0 || m.Slots <= 0 {
		return 0
	}
	full := float64(m.Slots)
	if m.KVTokens > 0 {
		tokensPerStream := float64(kvTime) / (slotTime.Seconds() * 1000)
		full = min(full, maxKVUtilisation*float64(m.KVTokens)/max(tokensPerStream, 1))
	}
	stretch := (1 + m.Slowdown*full) / (1 + m.Slowdown*min(m.Streams, full))
	return time.Duration(float64(slotTime) * stretch / full)
}
