package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/types"
)

// TargetList is the sorted list of the targets of one data centre. Digests name
// a target by its position, which takes one or two bytes in place of a name;
// Hash tells whether two daemons mean the same list. A TargetList is immutable.
type TargetList struct {
	DataCentre types.DataCentreID
	Hash       uint64
	ids        []types.TargetID
}

// NewTargetList returns the list of the given targets. It sorts the slice and
// keeps it.
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

// At returns the target at a position; ok is false beyond the end.
func (l *TargetList) At(i uint32) (id types.TargetID, ok bool) {
	if uint64(i) >= uint64(len(l.ids)) {
		return "", false
	}
	return l.ids[i], true
}

// Index returns the position of a target.
func (l *TargetList) Index(id types.TargetID) (i uint32, ok bool) {
	n, ok := slices.BinarySearch(l.ids, id)
	return uint32(n), ok
}
