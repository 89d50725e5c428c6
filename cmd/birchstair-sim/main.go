// Birchstair-sim simulates nodes, executors and clients on a virtual clock, injects faults, and checks the invariants at
// every step. Some of its commands do the same with real processes on loopback.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"birchstair/internal/scaletest"
)

var commands struct {
	List    listCmd    `cmd:"" help:"List the kept scenarios."`
	Run     runCmd     `cmd:"" help:"Play a scenario. The exit status is 1 if a rule broke."`
	Account accountCmd `cmd:"" help:"Play a scenario and say where the earnings went that were not earned. The exit status is 1 if a rule broke."`
	Hunt    huntCmd    `cmd:"" help:"Play worlds and faults drawn from seeds, and keep what breaks a rule or does worst."`
	Shrink  shrinkCmd  `cmd:"" help:"Find the fewest faults and the shortest stretch that still break the same rule."`
	Kill    killCmd    `cmd:"" help:"Kill real nodes with durable batch jobs, on loopback, and count what became of each."`
	Fleet   fleetCmd   `cmd:"" help:"Play fleets of real processes with faults between them, on loopback."`
	Scale   scaleCmd   `cmd:"" help:"Measure what a node costs as executors, nodes and tenants grow: real nodes among hollow ones, on loopback."`
	Trace   traceCmd   `cmd:"" help:"Print a trace as people read it."`
}

// errViolation means that an invariant was violated, or something else was wrong, which has been printed.
var errViolation = errors.New("a rule broke")

func main() {
	if os.Getenv(scaletest.StubEnv) != "" { // started by birchstair-sim scale
		if err := scaletest.RunStub(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "birchstair-sim, a hollow process:", err)
			os.Exit(2)
		}
		return
	}
	ctx := kong.Parse(&commands, kong.Name("birchstair-sim"), kong.Description("Worlds on a virtual clock, with faults and the rules checked."),
		kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errViolation) {
			fmt.Fprintln(os.Stderr, "birchstair-sim:", err)
			os.Exit(2)
		}
		os.Exit(1)
	}
}
