// Command lentilpick-control runs the control daemon of an entry VM.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/server/admin"
	"github.com/lentilpick/lentilpick/server/control"
)

var cli struct {
	Settings string `required:"" type:"path" help:"Settings file (TOML)."`
	Check    bool   `help:"Validate the settings and exit."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Follows the configuration, orders targets and serves the administration API."))
	s := control.DefaultSettings()
	k.FatalIfErrorf(daemon.LoadSettings(cli.Settings, s))
	if cli.Check {
		return
	}
	log := daemon.NewLogger(os.Stderr, s.LogLevel, "control").
		WithField(daemon.FieldVM, s.VM).WithField(daemon.FieldDataCentre, s.DataCentre)
	daemon.IgnoreHangup(log)
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	d, err := control.New(s, log)
	k.FatalIfErrorf(err)
	h, err := admin.NewHandler(d, s, log)
	k.FatalIfErrorf(err)
	d.SetAdmin(h)
	k.FatalIfErrorf(d.Run(ctx))
}
