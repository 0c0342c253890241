package ctl

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
)

// StatusCmd prints the state of the daemons, the lease and the targets.
type StatusCmd struct{}

// Help implements kong.HelpProvider.
func (StatusCmd) Help() string {
	return `Examples:

	lentilpickctl status
	lentilpickctl --json status`
}

// Run implements the command.
func (StatusCmd) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	r, err := g.client().GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
	if err != nil {
		return g.callError(err)
	}
	if g.JSON {
		return g.printMessage(r.Msg)
	}
	m := r.Msg
	w := g.table()
	fmt.Fprintf(w, "vm %s in %s, revision %d\n", m.GetVm(), m.GetDataCentre(), m.GetRevision())
	fmt.Fprintf(w, "lease holder %s, fencing number %d\n", m.GetLease().GetHolderVm(), m.GetLease().GetFencingNumber())
	for _, d := range m.GetDaemons() {
		fmt.Fprintf(w, "daemon\t%s\t%s\t%s\trevision %d\t%d ms ago\n", d.GetKind(), d.GetVm(), d.GetDataCentre(), d.GetRevision(), d.GetAgeMs())
	}
	for _, t := range m.GetTargets() {
		fmt.Fprintf(w, "target\t%s\t%s\t%s\trunning %d\tleaving %t\tchanging %t\torder %s\t%d ms ago\n", t.GetId(), t.GetRole(),
			t.GetModel(), t.GetRunning(), t.GetLeaving(), t.GetChanging(), t.GetOrder(), t.GetReportAgeMs())
	}
	return w.Flush()
}

// HistoryCmd prints the results of changes.
type HistoryCmd struct {
	Limit uint32 `default:"20" help:"Number of most recent results to print; 0 prints all retained results."`
}

// Help implements kong.HelpProvider.
func (HistoryCmd) Help() string {
	return `Prints the oldest result first. The latest 1024 results are retained.

Example:

	lentilpickctl history --limit 0`
}

// Run implements the command.
func (c HistoryCmd) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	r, err := g.client().GetHistory(ctx, connect.NewRequest(&adminv1.GetHistoryRequest{Limit: c.Limit}))
	if err != nil {
		return g.callError(err)
	}
	if g.JSON {
		return g.printMessage(r.Msg)
	}
	w := g.table()
	fmt.Fprintln(w, strings.Join([]string{"CHANGE", "OPERATOR", "KIND", "OBJECT", "RESULT"}, "\t"))
	for _, c := range r.Msg.GetResults() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.GetChangeId(), c.GetOperator(), c.GetKind(), c.GetObjectId(), resultText(c))
	}
	return w.Flush()
}

func resultText(c *adminv1.ChangeResult) string {
	switch {
	case c.GetRefusal() != "":
		return "refused: " + c.GetRefusal()
	case c.GetDeleted():
		return fmt.Sprintf("deleted at revision %d", c.GetRevision())
	}
	return fmt.Sprintf("revision %d", c.GetRevision())
}
