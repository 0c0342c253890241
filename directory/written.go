package directory

import "github.com/lentilpick/lentilpick/types"

// maxWritten bounds the registrations of removed targets that are remembered, as maxLeft does for
// lifetimes that have declared that they are leaving.
const maxWritten = 4096

// writtenRegistration is the newest registration that a target is known to have written.
type writtenRegistration struct{ startedAt, sequence int64 }

// writtenRegistrations tells registrations that are older than a known one, which a store shows that has
// returned from an older copy: a target that is draining looks ready there, and one that was removed has
// a registration. Targets that do not state a sequence are not checked.
type writtenRegistrations map[types.TargetID]writtenRegistration

// accept records a registration and reports whether it is not older than the known one. A target that was
// removed has to write again.
func (w writtenRegistrations) accept(e Entry, registered bool) bool {
	old := w[e.ID]
	same := e.Sequence > 0 && old.sequence > 0 && old.startedAt == e.StartedAt
	if same && (e.Sequence < old.sequence || e.Sequence == old.sequence && !registered) {
		return false
	}
	w[e.ID] = writtenRegistration{e.StartedAt, e.Sequence}
	return true
}

// prune forgets removed targets beyond maxWritten, in no particular order.
func (w writtenRegistrations) prune(current map[types.TargetID]*Target) {
	removed := len(w) - len(current)
	for id := range w {
		if removed <= maxWritten {
			return
		}
		if current[id] == nil {
			delete(w, id)
			removed--
		}
	}
}
