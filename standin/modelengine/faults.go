package modelengine

import "time"

// Crash ends all jobs and aborts a change in progress, as the loss of the process
// does. Afterwards the engine has the same description as before the change, with
// an empty cache, the highest fencing number 0, and it is not draining.
func (e *Engine) Crash() []Output {
	interrupted := e.InterruptAll()
	if e.changingTo != nil {
		e.Stats.ChangesAborted++
	}
	e.AbortChange()
	e.resetCache()
	e.highestFence = 0
	e.leaving = false
	return interrupted
}

// SetChecksFencing sets whether the engine refuses stale fencing numbers.
func (e *Engine) SetChecksFencing(v bool) { e.params.ChecksFencing = v }

// ChangeEnds returns the time at which the change in progress ends; ok is false
// when there is none.
func (e *Engine) ChangeEnds(now time.Time) (at time.Time, ok bool) {
	if !e.Changing(now) {
		return time.Time{}, false
	}
	return e.changeEndsAt, true
}

// SetChangeEnd sets when the change that the given order started ends. It reports
// whether that change is still in progress.
func (e *Engine) SetChangeEnd(order string, end time.Time) bool {
	if e.changingTo == nil || e.changingTo.ID != order {
		return false
	}
	e.changeEndsAt = end
	return true
}

// LoadsWeights reports whether the change in progress loads weights other than
// those of the current model and version.
func (e *Engine) LoadsWeights() bool {
	c := e.changingTo
	return c != nil && (c.Model != e.description.Model || c.Version != e.description.Version)
}
