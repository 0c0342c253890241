// Command lentilpick-load runs the demo, the fault scenarios, the soak test and the
// measurements of lentilpick.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/lentilpick/lentilpick/cmd/internal/capacity"
	"github.com/lentilpick/lentilpick/cmd/internal/load"
	"github.com/lentilpick/lentilpick/cmd/internal/soak"
)

var cli struct {
	Capacity capacity.Cmd    `cmd:"" help:"Measure CPU time, memory and traffic of the daemons at several deployment sizes."`
	Demo     load.DemoCmd    `cmd:"" help:"Run both example deployments on loopback, send a mixed load and print a report."`
	Faults   load.FaultsCmd  `cmd:"" help:"Inject faults into a deployment of real processes under load and check its guarantees."`
	Latency  load.LatencyCmd `cmd:"" help:"Measure the latency that the entry daemon adds to a direct call of an engine."`
	Soak     soak.Cmd        `cmd:"" help:"Run nodes against stand-ins of the platform under random faults and check the guarantees."`
}

func main() {
	k := kong.Parse(&cli, kong.Description("Sends load to lentilpick and evaluates the responses."))
	k.FatalIfErrorf(k.Run())
}
