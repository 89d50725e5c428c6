// Birchstair is a node: it takes batch jobs from clients and dispatches them to executors.
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

// commands are the program's commands. Names of commands and flags follow from the fields' names.
var commands struct {
	Serve   serveCmd   `cmd:"" help:"Take batch jobs until told to stop by SIGTERM."`
	Config  configCmd  `cmd:"" help:"Work with the configuration."`
	Ops     opsCmd     `cmd:"" help:"Call at a running node's door for operators."`
	Store   storeCmd   `cmd:"" help:"Look after the records of durable batch jobs, while no node uses them."`
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
		return errors.New("built without its version")
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
