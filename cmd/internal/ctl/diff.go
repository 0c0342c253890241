package ctl

import (
	"fmt"

	"google.golang.org/protobuf/proto"
)

// DiffCmd compares a file with the configuration in force.
type DiffCmd struct {
	File string `short:"f" required:"" type:"existingfile" help:"File of objects (TOML)."`
}

// Help implements kong.HelpProvider.
func (DiffCmd) Help() string {
	return `Prints what apply would create (+) or change (~). Objects that are not in the file are ignored. The exit code is 0 with and without differences.

Example:

	lentilpickctl diff -f services.toml`
}

type difference struct {
	Kind   string        `json:"kind"`
	ID     string        `json:"id"`
	New    bool          `json:"new"`
	Fields []fieldChange `json:"fields,omitempty"`
}

type fieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Run implements the command.
func (c DiffCmd) Run(g *Globals) error {
	desired, err := readObjects(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	conf, err := g.configuration(ctx, g.client())
	if err != nil {
		return err
	}
	list := differences(entriesByObject(conf), desired)
	if g.JSON {
		return g.printValue(list)
	}
	g.printDifferences(list)
	return nil
}

func differences(current map[object]entry, desired []proto.Message) []difference {
	out := []difference{}
	for _, m := range desired {
		o := objectOf(m)
		e, ok := current[o]
		if !ok {
			out = append(out, difference{Kind: o.kind, ID: o.id, New: true})
			continue
		}
		if !proto.Equal(e.message, m) {
			out = append(out, difference{Kind: o.kind, ID: o.id, Fields: changedFields(e.message, m)})
		}
	}
	return out
}

// changedFields returns the fields that differ between two messages of the same type.
func changedFields(before, after proto.Message) []fieldChange {
	var out []fieldChange
	b, a := fields(before), fields(after)
	for i := range b {
		if b[i].value != a[i].value {
			out = append(out, fieldChange{b[i].name, b[i].value, a[i].value})
		}
	}
	return out
}

func (g *Globals) printDifferences(list []difference) {
	for _, d := range list {
		mark := "~"
		if d.New {
			mark = "+"
		}
		fmt.Fprintf(g.out, "%s %s %s\n", mark, d.Kind, d.ID)
		for _, f := range d.Fields {
			fmt.Fprintf(g.out, "    %s: %q to %q\n", f.Field, f.Before, f.After)
		}
	}
}
