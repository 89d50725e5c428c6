package main

import (
	"cmp"
	"os"
	"time"

	"birchstair/internal/simulation"
)

type accountCmd struct {
	Scenario  string            `arg:"" help:"A file, or the name of a built-in scenario."`
	Seed      uint64            `help:"Random seed. Defaults to the scenario's own seed, or else to 1."`
	Policy    simulation.Policy `enum:"module,random,best" default:"module" help:"Policy of the nodes: module is the real one, random sends each job at once to a random available executor, and best knows the true state of all executors."`
	Nodes     int               `help:"Number of nodes. Defaults to the scenario's."`
	Executors int               `help:"Number of executors. Defaults to the scenario's."`
	Load      float64           `help:"Traffic, as a fraction of the capacity of all executors. Defaults to the scenario's."`
	Length    time.Duration     `help:"Time during which clients submit batch jobs. Defaults to the scenario's length."`
	JSON      string            `name:"json" type:"path" placeholder:"FILE" help:"Write the account to this file, as JSON."`
}

// Run plays the scenario and prints the account.
func (c *accountCmd) Run() error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	s.Load.Utilization = cmp.Or(c.Load, s.Load.Utilization)
	if s, err = s.Sized(c.Nodes, c.Executors, c.Length); err != nil {
		return err
	}
	r := simulation.New(s, seedOf(s, c.Seed), simulation.Options{Policy: c.Policy, Account: true}).Play()
	r.Account.Print(os.Stdout)
	return report(c.JSON, r.Account, r)
}
