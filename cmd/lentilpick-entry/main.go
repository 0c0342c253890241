// Command lentilpick-entry runs the entry daemon, which routes callers' requests to targets.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/server/entry"
)

var cli struct {
	Settings string `required:"" type:"path" help:"Settings file (TOML)."`
	Check    bool   `help:"Validate the settings and exit."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Accepts callers' requests and routes them to targets."))
	s := entry.DefaultSettings()
	k.FatalIfErrorf(daemon.LoadSettings(cli.Settings, s))
	if cli.Check {
		return
	}
	log := daemon.NewLogger(os.Stderr, s.LogLevel, "entry").
		WithField(daemon.FieldVM, s.VM).WithField(daemon.FieldDataCentre, s.DataCentre)
	daemon.IgnoreHangup(log)
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	d, err := entry.New(s, log)
	k.FatalIfErrorf(err)
	k.FatalIfErrorf(d.Run(ctx))
}
