package ctl

import (
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
)

// ApplyCmd applies a file of objects.
type ApplyCmd struct {
	File string `short:"f" required:"" type:"existingfile" help:"File of objects (TOML)."`
	ChangeFlags
}

// Help implements kong.HelpProvider.
func (ApplyCmd) Help() string {
	return `Objects that already match the file are left unchanged, so that the command can be repeated after a failure.

Examples:

	lentilpickctl apply -f services.toml --dry-run
	lentilpickctl apply -f services.toml --wait --timeout 30s`
}

// Run implements the command.
func (c ApplyCmd) Run(g *Globals) error {
	desired, err := readObjects(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	p := g.publisher(c.ChangeFlags)
	conf, err := g.configuration(ctx, p.client)
	if err != nil {
		return err
	}
	return p.run(ctx, p.changesTo(conf, desired))
}

// changesTo returns the changes that lead from conf to the desired objects. For --wait, an
// unchanged object counts with the revision at which it came into force.
func (p *publisher) changesTo(conf *adminv1.GetConfigurationResponse, desired []proto.Message) []*adminv1.ApplyRequest {
	var out []*adminv1.ApplyRequest
	current := entriesByObject(conf)
	for _, m := range desired {
		e, ok := current[objectOf(m)]
		if ok && proto.Equal(e.message, m) {
			p.revision = max(p.revision, e.revision)
			p.addOutcome(outcome{Kind: e.kind, ID: e.id, Result: "unchanged", Revision: e.revision})
			continue
		}
		out = append(out, putRequest(m, e.revision))
	}
	return out
}

// DeleteCmd deletes an object.
type DeleteCmd struct {
	Kind string `arg:"" enum:"service,target,workspace" help:"Kind of object: ${enum}."`
	ID   string `arg:"" help:"Object to delete."`
	ChangeFlags
}

// Help implements kong.HelpProvider.
func (DeleteCmd) Help() string {
	return `A service can be deleted only when it has no targets.

Examples:

	lentilpickctl delete target assistant-1 --dry-run
	lentilpickctl delete workspace trial --wait`
}

// Run implements the command.
func (c DeleteCmd) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	p := g.publisher(c.ChangeFlags)
	conf, err := g.configuration(ctx, p.client)
	if err != nil {
		return err
	}
	e, ok := entriesByObject(conf)[object{c.Kind, c.ID}]
	if !ok {
		return notFound(object{c.Kind, c.ID})
	}
	return p.run(ctx, []*adminv1.ApplyRequest{deleteRequest(e)})
}
