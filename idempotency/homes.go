package idempotency

import (
	"slices"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Homes is the set of data centres over which keys are spread. It is recorded
// in each key stream, so that every daemon knows by the log's clock when the set
// changed, also after a restart.
type Homes struct {
	// Revision is the configuration revision that the set was read from.
	Revision    types.Revision       `json:"revision"`
	DataCentres []types.DataCentreID `json:"data_centres"`
	// Past holds earlier sets that ended within one key window.
	Past []Epoch `json:"past,omitempty"`
}

// Epoch is a set of data centres that was in force until a time of the log.
type Epoch struct {
	DataCentres []types.DataCentreID `json:"data_centres"`
	Until       time.Time            `json:"until"`
}

// Homes returns the set in force, or nil when the stream has none.
func (t *Table) Homes() *Homes { return t.homes }

// applyHomes takes a set that was read from a newer configuration revision. A
// daemon with an older configuration cannot bring back an older set.
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

// livePast returns the past sets that ended within one key window.
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
// centre: its home is elsewhere, or was elsewhere within the last key window.
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
