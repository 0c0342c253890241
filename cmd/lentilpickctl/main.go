// Command lentilpickctl is the operators' client of the administration API.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/cmd/internal/ctl"
)

func main() {
	var cli ctl.CLI
	k := kong.Parse(&cli, kong.Description("Reads and changes the configuration of lentilpick."))
	k.FatalIfErrorf(k.Run(&cli.Globals))
}
