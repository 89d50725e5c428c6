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

// opsCmd sends a command to a running node. The program exits with status 1 where the node refuses or cannot be reached.
type opsCmd struct {
	At   string        `placeholder:"ADDRESS:PORT" help:"The node's management address. Left out: ROUTER_MANAGEMENT, or what the file that ROUTER_CONFIG names says."`
	Wait time.Duration `default:"1s" help:"How long to wait for the answer."`

	Check    plainCmd    `cmd:"" help:"Say whether the node can take batch jobs."`
	Vars     varsCmd     `cmd:"" help:"Print the node's figures, one a line."`
	SetDown  executorCmd `cmd:"" help:"Take an executor out: nothing new goes there until it is put back."`
	SetUp    executorCmd `cmd:"" help:"Put an executor back. It counts as started now."`
	DrainOn  plainCmd    `cmd:"" help:"Send the node's clients away."`
	DrainOff plainCmd    `cmd:"" help:"Let clients come again."`
	Fleet    fleetCmd    `cmd:"" help:"Print what the node knows of its fleet: neighbours with the age of their figures, drains, the cut line, words dropped."`
}

type (
	plainCmd    struct{} // takes nothing and prints ok
	varsCmd     struct{}
	fleetCmd    struct{}
	executorCmd struct {
		ID string `arg:"" help:"The executor's id in the list."`
	}
)

// commandName is the name of the command that runs. Commands below ops go by the same names at the node.
type commandName string

// Run sends the command.
func (plainCmd) Run(ops *opsCmd, name commandName) error { return ops.run(name, "") }

// Run sends the command for an executor.
func (c executorCmd) Run(ops *opsCmd, name commandName) error {
	return ops.run(name, policy.ExecutorID(c.ID))
}

// Run prints the node's metrics.
func (varsCmd) Run(ops *opsCmd) error { return ops.printLines(node.ReadMetrics) }

// Run prints the node's view of its cluster.
func (fleetCmd) Run(ops *opsCmd) error { return ops.printLines(node.ReadCluster) }

// run sends a command whose reply is only success or failure.
func (c *opsCmd) run(name commandName, executor policy.ExecutorID) error {
	if _, err := c.call(admin.CommandByName(string(name)), executor); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

// printLines sends a command and prints the lines of its reply.
func (c *opsCmd) printLines(command node.AdminCommand) error {
	lines, err := c.call(command, "")
	for _, line := range lines {
		fmt.Println(line)
	}
	return err
}

func (c *opsCmd) call(command node.AdminCommand, executor policy.ExecutorID) ([]string, error) {
	addr, err := c.address()
	if err != nil {
		return nil, err
	}
	return admin.Call(addr, command, executor, c.Wait)
}

// address returns the node's management address: of the flag, the environment or the configuration, in this order.
func (c *opsCmd) address() (string, error) {
	addr := cmp.Or(c.At, os.Getenv("ROUTER_MANAGEMENT"))
	if addr == "" && os.Getenv("ROUTER_CONFIG") != "" {
		conf, err := config.Read(os.Getenv)
		if err != nil {
			return "", err
		}
		addr = conf.AdminAddr
	}
	if addr == "" {
		return "", errors.New("no management address: name it by --at or ROUTER_MANAGEMENT, or in the file that ROUTER_CONFIG names")
	}
	return addr, nil
}
