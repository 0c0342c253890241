// Command lentilpick-standin runs stand-ins for the platform and the targets,
// for tests and the demo.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/cmd/internal/standins"
	"github.com/lentilpick/lentilpick/daemon"
)

var cli struct {
	Settings string `required:"" type:"path" help:"Settings file (TOML)."`
	Check    bool   `help:"Validate the settings and exit."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Runs stand-ins for the platform and the targets."))
	s := standins.DefaultSettings()
	k.FatalIfErrorf(daemon.LoadSettings(cli.Settings, s))
	if cli.Check {
		return
	}
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	log := daemon.NewLogger(os.Stderr, s.LogLevel, "standin")
	k.FatalIfErrorf(standins.Run(ctx, s, log))
}
