package ctl

import (
	"fmt"
	"strings"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
)

// GetCmd prints the configuration or a part of it.
type GetCmd struct {
	Kind string `arg:"" optional:"" enum:",service,target,workspace" default:"" help:"Kind of object: service, target or workspace."`
	ID   string `arg:"" optional:"" help:"Object to print with all fields."`
}

// Help implements kong.HelpProvider.
func (GetCmd) Help() string {
	return `Examples:

	lentilpickctl get
	lentilpickctl get target
	lentilpickctl --json get target assistant-1`
}

// Run implements the command.
func (c GetCmd) Run(g *Globals) error {
	conf, err := g.configurationOfKind(c.Kind)
	if err != nil {
		return err
	}
	if c.ID != "" {
		return g.printObject(conf, object{c.Kind, c.ID})
	}
	if g.JSON {
		return g.printMessage(conf)
	}
	return g.printConfiguration(conf)
}

// ListCmd prints the identifiers of the objects of one kind.
type ListCmd struct {
	Kind string `arg:"" enum:"service,target,workspace" help:"Kind of object: ${enum}."`
}

// Help implements kong.HelpProvider.
func (ListCmd) Help() string {
	return `Prints one identifier per line.

Example:

	lentilpickctl list target`
}

// Run implements the command.
func (c ListCmd) Run(g *Globals) error {
	conf, err := g.configurationOfKind(c.Kind)
	if err != nil {
		return err
	}
	ids := []string{}
	for _, e := range entries(conf) {
		ids = append(ids, e.id)
	}
	if g.JSON {
		return g.printValue(ids)
	}
	for _, id := range ids {
		fmt.Fprintln(g.out, id)
	}
	return nil
}

// configurationOfKind returns the configuration, reduced to the objects of the given kind unless
// kind is empty.
func (g *Globals) configurationOfKind(kind string) (*adminv1.GetConfigurationResponse, error) {
	ctx, cancel := g.context()
	defer cancel()
	conf, err := g.configuration(ctx, g.client())
	if err != nil || kind == "" {
		return conf, err
	}
	if kind != kindService {
		conf.Services = nil
	}
	if kind != kindTarget {
		conf.Targets = nil
	}
	if kind != kindWorkspace {
		conf.Workspaces = nil
	}
	return conf, nil
}

func (g *Globals) printObject(conf *adminv1.GetConfigurationResponse, o object) error {
	e, ok := entriesByObject(conf)[o]
	if !ok {
		return notFound(o)
	}
	if g.JSON {
		return g.printMessage(e.message)
	}
	w := g.table()
	fmt.Fprintf(w, "revision\t%d\n", e.revision)
	for _, f := range fields(e.message) {
		fmt.Fprintf(w, "%s\t%s\n", f.name, f.value)
	}
	return w.Flush()
}

func (g *Globals) printConfiguration(conf *adminv1.GetConfigurationResponse) error {
	w := g.table()
	fmt.Fprintf(w, "revision %d\n", conf.GetRevision())
	for _, e := range conf.GetServices() {
		fmt.Fprintf(w, "service\t%s\t%s\trevision %d\n", e.GetService().GetId(), e.GetService().GetKind(), e.GetRevision())
	}
	for _, e := range conf.GetTargets() {
		t := e.GetTarget()
		fmt.Fprintf(w, "target\t%s\t%s\t%s\t%s\t%s\t%s\trevision %d\n", t.GetId(), t.GetService(), t.GetDataCentre(),
			t.GetRole(), t.GetModel(), t.GetState(), e.GetRevision())
	}
	for _, e := range conf.GetWorkspaces() {
		s := e.GetWorkspace()
		fmt.Fprintf(w, "workspace\t%s\tshare %d\tservices %s\trevision %d\n", s.GetId(), s.GetShare(), servicesText(s), e.GetRevision())
	}
	return w.Flush()
}

func servicesText(w *adminv1.Workspace) string {
	if len(w.GetServices()) == 0 {
		return "all"
	}
	return strings.Join(w.GetServices(), ",")
}
