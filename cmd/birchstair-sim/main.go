// Birchstair-sim simulates nodes, executors and clients on a virtual clock, injects faults, and checks the invariants at every step. Its
// commands kill, fleet and scale run real processes on loopback instead.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"birchstair/internal/scaletest"
)

var commands struct {
	List    listCmd    `cmd:"" help:"List the built-in scenarios."`
	Run     runCmd     `cmd:"" help:"Play a scenario. The exit status is 1 if an invariant was violated."`
	Account accountCmd `cmd:"" help:"Play a scenario and attribute the value that was not earned to causes. The exit status is 1 if an invariant was violated."`
	Hunt    huntCmd    `cmd:"" help:"Play scenarios drawn from seeds, and report those that violate an invariant or fall furthest below the possible value."`
	Shrink  shrinkCmd  `cmd:"" help:"Reduce a scenario that violates an invariant to a small one that still violates it."`
	Kill    killCmd    `cmd:"" help:"Kill real nodes with durable batch jobs on loopback, and check the final answer of each job."`
	Fleet   fleetCmd   `cmd:"" help:"Play scenarios with clusters of real processes on loopback."`
	Scale   scaleCmd   `cmd:"" help:"Measure the cost of a node by the number of executors, nodes and tenants, with real nodes among emulated ones on loopback."`
	Trace   traceCmd   `cmd:"" help:"Print a trace in a readable form."`
}

// errViolation means that an invariant was violated, or that something else happened that must not happen. A command
// that returns it has already printed the details.
var errViolation = errors.New("an invariant was violated")

func main() {
	if os.Getenv(scaletest.StubEnv) != "" { // this is an emulated process that birchstair-sim scale has started
		if err := scaletest.RunStub(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "birchstair-sim, an emulated process of scale:", err)
			os.Exit(2)
		}
		return
	}
	ctx := kong.Parse(&commands, kong.Name("birchstair-sim"), kong.Description("Simulates nodes, executors and clients on a virtual clock, injects faults, and checks invariants."),
		kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errViolation) {
			fmt.Fprintln(os.Stderr, "birchstair-sim:", err)
			os.Exit(2)
		}
		os.Exit(1)
	}
}
