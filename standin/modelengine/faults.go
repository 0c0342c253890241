package modelengine

import "time"

// Crash ends all jobs and gives up a change in progress, as the loss of the
// process does. The engine then carries what it carried before, with an empty
// cache, no highest fencing number and no drain.
func (e *Engine) Crash() []Output {
	cut := e.InterruptAll()
	if e.changingTo != nil {
		e.Stats.ChangesAborted++
	}
	e.AbortChange()
	e.resetCache()
	e.highestFence = 0
	e.leaving = false
	return cut
}

// SetChecksFencing sets whether stale fencing numbers are refused.
func (e *Engine) SetChecksFencing(v bool) { e.params.ChecksFencing = v }

// ChangeEnds returns when the change in progress ends; ok is false when there
// is none.
func (e *Engine) ChangeEnds(now time.Time) (at time.Time, ok bool) {
	if !e.Changing(now) {
		return time.Time{}, false
	}
	return e.changeEnds, true
}

// DelayChange moves the end of the change that the order with the identifier
// started. It reports whether that change is still in progress.
func (e *Engine) SetChangeEnd(order string, end time.Time) bool {
	if e.changingTo == nil || e.changingTo.ID != order {
		return false
	}
	e.changeEnds = end
	return true
}

// LoadsWeights reports whether the change in progress loads other weights than
// the engine has.
func (e *Engine) LoadsWeights() bool {
	c := e.changingTo
	return c != nil && (c.Model != e.desc.Model || c.Version != e.desc.Version)
}
