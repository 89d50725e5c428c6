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

// opsCmd sends a command to a running node. The program exits with status 1 if the node refuses the command or can't be
// reached.
type opsCmd struct {
	At   string        `placeholder:"ADDRESS:PORT" help:"The node's management address. Default: ROUTER_MANAGEMENT, else the address in the file that ROUTER_CONFIG names."`
	Wait time.Duration `default:"1s" help:"How long to wait for the reply."`

	Check    simpleCmd   `cmd:"" help:"Check whether the node is ready for batch jobs."`
	Vars     varsCmd     `cmd:"" help:"Print the node's metrics, one per line."`
	SetDown  executorCmd `cmd:"" help:"Exclude an executor: it gets no new batch jobs until it is readmitted by set-up."`
	SetUp    executorCmd `cmd:"" help:"Readmit an executor. It is treated as just started."`
	DrainOn  simpleCmd   `cmd:"" help:"Start to drain clients, so that they go to other nodes."`
	DrainOff simpleCmd   `cmd:"" help:"End the drain of clients."`
	Fleet    fleetCmd    `cmd:"" help:"Print the node's view of its cluster: neighbours with the age of their state, drains, the cut line (admission threshold), dropped messages."`
}

type (
	simpleCmd   struct{} // a command without arguments; it prints "ok" on success
	varsCmd     struct{}
	fleetCmd    struct{}
	executorCmd struct {
		ID string `arg:"" help:"The executor's id in the endpoint list."`
	}
)

// commandName is the name of the subcommand that was selected. The subcommands of ops have the same names in the node's protocol.
type commandName string

// Run sends a command without arguments.
func (simpleCmd) Run(ops *opsCmd, name commandName) error { return ops.run(name, "") }

// Run sends a command that names an executor.
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

// address returns the node's management address. It uses the first of these that is set: the flag, the environment variable, the
// setting in the configuration file.
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
		return "", errors.New("no management address: set --at or ROUTER_MANAGEMENT, or management in the file that ROUTER_CONFIG names")
	}
	return addr, nil
}
