// Command lentilpickctl is the operators' client of the administration API.
package main

import (
	"os"

	"github.com/lentilpick/lentilpick/cmd/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
