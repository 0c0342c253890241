// Command lentilpick-load sends load to lentilpick and runs the demo.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/cmd/internal/capacity"
	"github.com/lentilpick/lentilpick/cmd/internal/load"
	"github.com/lentilpick/lentilpick/cmd/internal/soak"
)

var cli struct {
	Capacity capacity.Cmd    `cmd:"" help:"Measure what control costs at several sizes."`
	Demo     load.DemoCmd    `cmd:"" help:"Run both example deployments on loopback, send a mixed load and print a report."`
	Faults   load.FaultsCmd  `cmd:"" help:"Run fault scenarios over real processes and check what holds."`
	Latency  load.LatencyCmd `cmd:"" help:"Measure what the entry daemon adds to a direct call of an engine."`
	Soak     soak.Cmd        `cmd:"" help:"Run nodes against stand-ins of the platform under random faults and check the promises."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Sends load and counts the answers."))
	k.FatalIfErrorf(k.Run())
}
