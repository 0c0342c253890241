package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes a table with one row per trace and policy, followed by one line per bound.
func (c *Campaign) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "trace\tpolicy\tgoodput\ttokens\tchanges\tp95 first token\tp95 interval\trefused\tstart p/d/m")
	for _, r := range c.Results {
		refused := float64(r.RefusedAdmission+r.RefusedPlacement) / float64(r.Requests)
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%d\t%.0f ms\t%.1f ms\t%.3f\t%d/%d/%d\n",
			r.Trace, r.Policy, r.Goodput, r.TokenGoodput, r.RoleChanges,
			milliseconds(r.P95FirstToken), milliseconds(r.P95Interval), refused, r.InitialRoles[1], r.InitialRoles[2], r.InitialRoles[0])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	missed := 0
	for _, b := range c.Bounds {
		if !b.Pass {
			missed++
		}
		fmt.Fprintln(w, b)
	}
	_, err := fmt.Fprintf(w, "\n%d bounds, %d missed, seed %d\n", len(c.Bounds), missed, c.Seed)
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
