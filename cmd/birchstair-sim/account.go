package main

import (
	"cmp"
	"os"
	"time"

	"birchstair/internal/simulation"
)

type accountCmd struct {
	Scenario  string            `arg:"" help:"A file, or the name of a kept scenario."`
	Seed      uint64            `help:"What chance is drawn from; the scenario's own seed, or 1, if it is left out."`
	Policy    simulation.Policy `enum:"module,random,best" default:"module" help:"What decides at the nodes: the module; a random live executor, at once; the executor that by what is true is done first."`
	Nodes     int               `help:"So many nodes instead of the scenario's."`
	Executors int               `help:"So many executors instead of the scenario's."`
	Load      float64           `help:"So much traffic, as a part of what all executors can do, instead of the scenario's."`
	Length    time.Duration     `help:"So long instead of the scenario's."`
	JSON      string            `name:"json" type:"path" placeholder:"FILE" help:"Write the account there."`
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
