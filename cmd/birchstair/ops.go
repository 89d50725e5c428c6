package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"time"

	"birchstair/internal/admin"
	"birchstair/internal/config"
	"birchstair/internal/node"
	"birchstair/policy"
)

// opsCmd calls at a running node's door. Each call ends with status 1 where the node says no or nobody answers.
type opsCmd struct {
	At   string        `placeholder:"ADDRESS:PORT" help:"The node's management address. Left out: ROUTER_MANAGEMENT, or what the file that ROUTER_CONFIG names says."`
	Wait time.Duration `default:"1s" help:"How long to wait for the answer."`

	Check    orderCmd    `cmd:"" help:"Say whether the node can take batch jobs."`
	Vars     varsCmd     `cmd:"" help:"Print the node's figures, one a line."`
	SetDown  executorCmd `cmd:"" help:"Take an executor out: nothing new goes there until it is put back."`
	SetUp    executorCmd `cmd:"" help:"Put an executor back. It counts as started now."`
	DrainOn  orderCmd    `cmd:"" help:"Send the node's clients away."`
	DrainOff orderCmd    `cmd:"" help:"Let clients come again."`
	Fleet    fleetCmd    `cmd:"" help:"Print what the node knows of its fleet: neighbours with the age of their figures, drains, the cut line, words dropped."`
}

type (
	orderCmd    struct{}
	varsCmd     struct{}
	fleetCmd    struct{}
	executorCmd struct {
		ID string `arg:"" help:"The executor's id in the list."`
	}
)

func (orderCmd) Run(own *opsCmd, name commandName) error { return own.order(name, "") }

func (c executorCmd) Run(own *opsCmd, name commandName) error {
	return own.order(name, policy.ExecutorID(c.ID))
}

func (c *opsCmd) order(name commandName, id policy.ExecutorID) error {
	if _, err := c.call(admin.CommandByName(string(name)), id); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

func (varsCmd) Run(own *opsCmd) error { return own.print(node.ReadMetrics) }

func (fleetCmd) Run(own *opsCmd) error { return own.print(node.ReadFleet) }

// print prints the lines that a call brings.
func (c *opsCmd) print(order node.AdminCommand) error {
	lines, err := c.call(order, "")
	for _, line := range lines {
		fmt.Println(line)
	}
	return err
}

// commandName is the name of the command that runs; those of ops are the door's calls.
type commandName string

func (c *opsCmd) call(order node.AdminCommand, id policy.ExecutorID) ([]string, error) {
	addr := cmp.Or(c.At, os.Getenv("ROUTER_MANAGEMENT"))
	if addr == "" && os.Getenv("ROUTER_CONFIG") != "" {
		told, err := config.Read(os.Getenv)
		if err != nil {
			return nil, err
		}
		addr = told.AdminAddr
	}
	if addr == "" {
		return nil, errors.New("no management address: name it by --at or ROUTER_MANAGEMENT, or in the file that ROUTER_CONFIG names")
	}
	return admin.Call(addr, order, id, c.Wait)
}
