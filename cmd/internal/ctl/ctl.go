// Package ctl implements lentilpickctl, the command-line client of the administration API.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kong"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
)

const description = `Reads and changes the configuration of lentilpick.

Exit codes:

	0  done
	1  refused: the change or the call is not valid or not permitted
	2  conflict: another change was published first; run the command again
	3  not published: nothing was changed
	4  unknown result: the change may be in force; check the history
	5  not in force in time: accepted, but not yet in force on all daemons
	6  usage: the command line is not valid`

// Globals are the flags of all commands.
type Globals struct {
	Address string        `default:"127.0.0.1:7071" env:"LENTILPICK_ADDRESS" help:"Address of the administration API."`
	Token   string        `env:"LENTILPICK_TOKEN" help:"Bearer token of the administration API."`
	Timeout time.Duration `default:"15s" help:"Timeout of the complete command."`
	JSON    bool          `help:"Print JSON."`

	out, err  io.Writer
	transport http.RoundTripper
}

// CLI holds the flags and commands of the command line.
type CLI struct {
	Globals
	Apply      ApplyCmd      `cmd:"" help:"Create or change the objects in a file."`
	Diff       DiffCmd       `cmd:"" help:"Compare the objects in a file with the configuration in force."`
	Get        GetCmd        `cmd:"" help:"Print the configuration, a kind of object or one object."`
	List       ListCmd       `cmd:"" help:"Print the identifiers of the objects of a kind."`
	Delete     DeleteCmd     `cmd:"" help:"Delete an object."`
	Drain      DrainCmd      `cmd:"" help:"Stop sending new work to a target and let it finish the work in progress."`
	Activate   ActivateCmd   `cmd:"" help:"Send new work to a drained target again."`
	Withdraw   WithdrawCmd   `cmd:"" help:"Take a target out of use."`
	Replace    ReplaceCmd    `cmd:"" help:"Add a copy of a target at a new address, then drain the original."`
	Status     StatusCmd     `cmd:"" help:"Print the state of the daemons, the lease and the targets."`
	History    HistoryCmd    `cmd:"" help:"Print the retained results of changes."`
	Explain    ExplainCmd    `cmd:"" help:"Print the decisions about a request from the logs of nodes."`
	Completion CompletionCmd `cmd:"" help:"Print a script for shell completion."`
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	return execute(Globals{out: out, err: errOut, transport: http.DefaultTransport}, args)
}

func execute(g Globals, args []string) int {
	cli := CLI{Globals: g}
	exit := -1
	parser, err := kong.New(&cli, kong.Name("lentilpickctl"), kong.Description(description),
		kong.Writers(g.out, g.err), kong.Exit(func(code int) { exit = code }))
	if err == nil {
		err = run(parser, &cli.Globals, args, &exit)
	}
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintf(g.err, "lentilpickctl: %v\n", err)
	}
	return ExitCode(err)
}

func run(parser *kong.Kong, g *Globals, args []string, exit *int) error {
	ctx, err := parser.Parse(args)
	if *exit >= 0 {
		return nil // kong has printed the help
	}
	if err != nil {
		return failf(ErrUsage, "%v; see --help", err)
	}
	return ctx.Run(g)
}

func (g *Globals) client() adminv1connect.AdminServiceClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if g.Token != "" {
				r.Header().Set("Authorization", "Bearer "+g.Token)
			}
			return next(ctx, r)
		}
	})
	return adminv1connect.NewAdminServiceClient(&http.Client{Transport: g.transport}, "http://"+g.Address, connect.WithInterceptors(auth))
}

func (g *Globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

func (g *Globals) configuration(ctx context.Context, client adminv1connect.AdminServiceClient) (*adminv1.GetConfigurationResponse, error) {
	r, err := client.GetConfiguration(ctx, connect.NewRequest(&adminv1.GetConfigurationRequest{}))
	if err != nil {
		return nil, g.callError(err)
	}
	return r.Msg, nil
}

func (g *Globals) printMessage(m proto.Message) error {
	b, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(g.out, string(b))
	return err
}

func (g *Globals) printValue(v any) error {
	e := json.NewEncoder(g.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (g *Globals) table() *tabwriter.Writer { return tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0) }
