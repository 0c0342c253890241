// Command lentilpick-measure compares role policies on virtual time.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/measure"
)

var cli struct {
	Seed uint64 `default:"1" help:"Seed of the traces."`
	Out  string `default:"out" help:"Folder for the results."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Measures role policies against the engine model on virtual time."))
	k.FatalIfErrorf(measure.Command(cli.Seed, cli.Out))
}
