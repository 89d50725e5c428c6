package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"birchstair/internal/invariants"
	"birchstair/policy"
)

type traceCmd struct {
	File     string            `arg:"" type:"existingfile" help:"A trace file written by the command run."`
	BatchJob string            `placeholder:"ID" help:"Print only events of this batch job, or of the work item with this ID."`
	Executor policy.ExecutorID `placeholder:"ID" help:"Print only events of this executor."`
	Node     int               `default:"-1" help:"Print only events of the node with this number."`
	From     time.Duration     `help:"Print only events from this time on."`
	To       time.Duration     `help:"Print only events up to this time."`
}

// Run prints the events of a trace that the flags select.
func (c *traceCmd) Run() (err error) {
	f, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	out := bufio.NewWriter(os.Stdout)
	defer func() { err = errors.Join(err, out.Flush()) }()
	in := bufio.NewScanner(f)
	in.Buffer(make([]byte, 0, 1<<16), 1<<20)
	row, shown := 0, 0
	for in.Scan() {
		row++
		var s invariants.Event
		if err := s.Parse(in.Bytes()); err != nil {
			return fmt.Errorf("%s:%d: invalid or incomplete line of a trace: %w", c.File, row, err)
		}
		if c.wants(s) {
			shown++
			fmt.Fprintln(out, s)
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", c.File, row+1, err)
	}
	if shown == 0 {
		return fmt.Errorf("%s: the flags select none of its %d events", c.File, row)
	}
	return nil
}

// wants returns whether the flags of the command select an event.
func (c *traceCmd) wants(s invariants.Event) bool {
	if s.At < c.From || c.To > 0 && s.At > c.To {
		return false
	}
	// Faults often explain the other events, so they are selected whichever node, executor or job is given.
	fault := s.Kind == invariants.Note && s.Node == invariants.NoNode
	if c.Node >= 0 && int(s.Node) != c.Node && !fault {
		return false
	}
	if c.Executor != "" && s.Executor != c.Executor && !fault {
		return false
	}
	if c.BatchJob == "" {
		return true
	}
	work, _, _ := strings.Cut(c.BatchJob, "/")
	return string(s.Job) == c.BatchJob || string(s.Work) == c.BatchJob ||
		c.BatchJob == work && strings.HasPrefix(string(s.Job), work+"/") || fault
}
