// Command lentilpick-node accepts callers' requests on one VM of the platform and routes them to
// model engines and plain services.
package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/server/node"
)

var cli struct {
	Settings string `required:"" type:"path" help:"Settings file (TOML)."`
	Check    bool   `help:"Validate the settings and exit."`
}

// logFlushTimeout bounds the wait for a blocked standard output at the end of the process. It is
// shorter than the time between the end of a graceful stop and the platform's SIGKILL.
const logFlushTimeout = 200 * time.Millisecond

func main() {
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	// SIGHUP ends a process that does not handle it yet.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	k := kong.Parse(&cli, kong.Description("Accepts callers' requests on a VM of the platform and routes them to targets."))
	s := node.DefaultSettings()
	k.FatalIfErrorf(daemon.LoadSettings(cli.Settings, s))
	if cli.Check {
		return
	}
	m, err := platform.LoadSettings()
	k.FatalIfErrorf(err)
	lines := node.NewLineWriter(os.Stdout)
	log := daemon.NewLogger(lines, s.LogLevel, "node").
		WithField(daemon.FieldVM, m.VM).WithField(daemon.FieldDataCentre, m.DataCentre)
	n, err := node.New(s, m, log)
	k.FatalIfErrorf(err)
	if ctx.Err() != nil {
		return
	}
	err = n.Run(ctx, hup)
	_ = lines.Close(logFlushTimeout)
	k.FatalIfErrorf(err)
}
