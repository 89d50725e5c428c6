// Birchstair runs a node, which accepts batch jobs from clients and dispatches them to executors. It also has commands to operate
// a node.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"birchstair/internal/reload"
)

const version = "0.1.0"

// commands defines the program's commands and flags. kong derives the names of commands and flags from the names of the fields.
var commands struct {
	Serve   serveCmd   `cmd:"" help:"Run the node until SIGTERM."`
	Config  configCmd  `cmd:"" help:"Work with the configuration."`
	Ops     opsCmd     `cmd:"" help:"Send a command to a running node."`
	Store   storeCmd   `cmd:"" help:"Inspect or compact the store of durable batch jobs, while no node uses it."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	c := kong.Parse(&commands, kong.Name("birchstair"), kong.Description(
		"A dispatcher that pushes batch jobs to executors. ROUTER_CONFIG names its configuration file."))
	if c.Command() != "serve" {
		reload.RestoreDefault()
	}
	if err := c.Run(&commands.Ops, commandName(c.Selected().Name)); err != nil {
		fmt.Fprintln(os.Stderr, "birchstair:", err)
		os.Exit(1)
	}
}

type versionCmd struct{}

// Run prints the program's version, the commit that it was built from and Go's version.
func (versionCmd) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the program was built without version information")
	}
	built := version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			built += " of " + s.Value
		}
	}
	fmt.Println("birchstair", built, "built with", info.GoVersion)
	return nil
}
