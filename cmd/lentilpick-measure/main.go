// Command lentilpick-measure compares placement and role policies in a simulation of engines in virtual
// time. It prints a report and writes measure.json and measure.png to the output directory.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/measure"
)

var cli struct {
	Seed uint64 `default:"1" help:"Seed of the traces and of random choices."`
	Out  string `default:"out" help:"Directory for the results."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Compares placement and role policies in a simulation of engines in virtual time."))
	k.FatalIfErrorf(measure.Command(cli.Seed, cli.Out))
}
