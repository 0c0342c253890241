package idempotency

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Homes is the set of data centres over which keys are distributed. It is
// recorded in each key stream, so that every daemon, also after a restart, can
// determine by the log's clock when the set changed.
type Homes struct {
	// Revision is the configuration revision from which the set was derived.
	Revision    types.Revision       `json:"revision"`
	DataCentres []types.DataCentreID `json:"data_centres"`
	// Past contains earlier sets that were in force within the last key window.
	Past []Epoch `json:"past,omitempty"`
}

// Epoch is a set of data centres that was in force until the given time on the
// log's clock.
type Epoch struct {
	DataCentres []types.DataCentreID `json:"data_centres"`
	Until       time.Time            `json:"until"`
}

// Homes returns the set in force, or nil if no Homes record has been read.
func (t *Table) Homes() *Homes { return t.homes }

// applyHomes accepts a set only if it was derived from a newer configuration
// revision, so that a daemon with an older configuration cannot restore an older
// set.
func (t *Table) applyHomes(h *Homes) {
	if h == nil || len(h.DataCentres) == 0 {
		return
	}
	if t.homes == nil {
		t.homes = &Homes{Revision: h.Revision, DataCentres: h.DataCentres, Past: h.Past}
		return
	}
	if h.Revision <= t.homes.Revision {
		return
	}
	n := &Homes{Revision: h.Revision, DataCentres: h.DataCentres, Past: t.recentPast(t.now)}
	if !slices.Equal(t.homes.DataCentres, h.DataCentres) {
		n.Past = append(n.Past, Epoch{DataCentres: t.homes.DataCentres, Until: t.now})
	}
	t.homes = n
}

// recentPast returns the past sets that ended within one key window before now.
func (t *Table) recentPast(now time.Time) []Epoch {
	var out []Epoch
	for _, e := range t.homes.Past {
		if now.Sub(e.Until) <= t.settings.Window {
			out = append(out, e)
		}
	}
	return out
}

// Moved reports whether records of the key may be in the stream of another data
// centre: its home is, or was within the last key window, another data centre.
func (t *Table) Moved(k Key, now time.Time) bool {
	if t.settings.Home == nil || t.homes == nil {
		return false
	}
	if t.settings.Home(k, t.homes.DataCentres) != t.settings.Self {
		return true
	}
	for _, e := range t.recentPast(now) {
		if t.settings.Home(k, e.DataCentres) != t.settings.Self {
			return true
		}
	}
	return false
}
