package ctl

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// CompletionCmd prints a completion script.
type CompletionCmd struct {
	Shell string `arg:"" enum:"bash" help:"Shell: ${enum}."`
}

// Help implements kong.HelpProvider.
func (CompletionCmd) Help() string {
	return `Example:

	source <(lentilpickctl completion bash)`
}

// Run implements the command.
func (CompletionCmd) Run(k *kong.Kong, g *Globals) error {
	_, err := fmt.Fprint(g.out, bashScript(k.Model))
	return err
}

// bashScript returns a script that completes commands, flags and arguments with a fixed set of
// values. Everything else is completed as a file name.
func bashScript(app *kong.Application) string {
	global := flagWords(app.Node)
	var names, cases []string
	for _, c := range app.Children {
		if c.Hidden {
			continue
		}
		names = append(names, c.Name)
		cases = append(cases, fmt.Sprintf("\t%s) words=%q ;;", c.Name, strings.Join(commandWords(c, global), " ")))
	}
	return fmt.Sprintf(bashTemplate, app.Name, strings.Join(names, "|"), strings.Join(cases, "\n"),
		strings.Join(append(slices.Clone(names), global...), " "))
}

func commandWords(c *kong.Node, global []string) []string {
	var out []string
	for _, p := range c.Positional {
		for _, v := range p.EnumSlice() {
			if v != "" {
				out = append(out, v)
			}
		}
	}
	return append(append(out, flagWords(c)...), global...)
}

func flagWords(n *kong.Node) []string {
	var out []string
	for _, f := range n.Flags {
		if !f.Hidden {
			out = append(out, "--"+f.Name)
		}
	}
	return out
}

const bashTemplate = `_%[1]s() {
	local word command="" words
	for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
		case "$word" in
		%[2]s) command=$word; break ;;
		esac
	done
	case "$command" in
%[3]s
	*) words=%[4]q ;;
	esac
	COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _%[1]s %[1]s
`
