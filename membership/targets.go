package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// TargetList is the sorted list of the targets of one data centre. Load digests refer to a
// target by its index in the list, which takes one or two bytes instead of the target's ID.
// Lists with the same Hash have the same targets. A TargetList is immutable.
type TargetList struct {
	DataCentre types.DataCentreID
	Hash       uint64
	ids        []types.TargetID
}

// NewTargetList returns the list of the given targets. It sorts ids in place and retains the
// slice.
func NewTargetList(dc types.DataCentreID, ids []types.TargetID) *TargetList {
	slices.Sort(ids)
	h := xxhash.New()
	for _, id := range ids {
		_, _ = h.WriteString(string(id))
		_, _ = h.Write([]byte{0})
	}
	return &TargetList{DataCentre: dc, Hash: h.Sum64(), ids: ids}
}

// Len returns the number of targets.
func (l *TargetList) Len() int { return len(l.ids) }

// At returns the target at index i. ok is false if i is out of range.
func (l *TargetList) At(i uint32) (id types.TargetID, ok bool) {
	if uint64(i) >= uint64(len(l.ids)) {
		return "", false
	}
	return l.ids[i], true
}

// Index returns the index of a target. ok is false if the list does not contain it.
func (l *TargetList) Index(id types.TargetID) (i uint32, ok bool) {
	n, ok := slices.BinarySearch(l.ids, id)
	return uint32(n), ok
}
