package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"birchstair/internal/lab"
	"birchstair/internal/rules"
	"birchstair/lab/scenarios"
)

type listCmd struct{}

func (listCmd) Run() error {
	files, err := fs.Glob(scenarios.Files, "*.toml")
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range files {
		s, err := lab.LoadFrom(scenarios.Files, f)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%v\t%s\n", s.Name, time.Duration(s.Length), s.About)
	}
	return w.Flush()
}

// load reads a scenario by its file, or by the name of a kept one.
func load(name string) (lab.Scenario, error) {
	if text, err := os.ReadFile(name); err == nil {
		return lab.Read(name, text)
	} else if strings.ContainsAny(name, "/.") {
		return lab.Scenario{}, err
	}
	s, err := lab.LoadFrom(scenarios.Files, name+".toml")
	if errors.Is(err, fs.ErrNotExist) {
		return s, fmt.Errorf("%s: neither a file nor a kept scenario; birchlab list names those", name)
	}
	return s, err
}

type runCmd struct {
	Scenario string `arg:"" help:"A file, or the name of a kept scenario."`
	Seed     uint64 `help:"What chance is drawn from; the scenario's own seed, or 1, if it is left out."`
	Against  bool   `help:"Play it once more with nodes that talk, or do not: whichever the scenario does not say."`
	Trace    string `type:"path" placeholder:"FILE" help:"Write all that is seen there, a line of JSON each."`
	JSON     string `name:"json" type:"path" placeholder:"FILE" help:"Write the result there."`
}

func (c *runCmd) Run() (err error) {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	o := lab.Options{}
	if c.Trace != "" {
		trace, finish, err := writeTrace(c.Trace)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, finish()) }()
		o.Trace = trace
	}
	began := time.Now()
	r := lab.New(s, seedOf(s, c.Seed), o).Play()
	r.Print(os.Stdout)
	fmt.Printf("  %d steps in %v\n", r.Steps, time.Since(began).Round(time.Millisecond))
	if c.Against {
		other := s
		other.Fleet.Talk = !s.Fleet.Talk
		o := lab.New(other, seedOf(s, c.Seed), lab.Options{}).Play()
		with, without := r, o
		if other.Fleet.Talk {
			with, without = o, r
		}
		fmt.Printf("  talking %.3f, each alone %.3f, at the most %.3f; allocations %d and %d; rules broken %d and %d\n",
			with.Earned, without.Earned, with.Best, with.Allocations, without.Allocations, len(with.Broken), len(without.Broken))
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(r.Broken) > 0 {
		return errBroken
	}
	return nil
}

// writeTrace gives what writes a trace to a file, and what finishes it.
func writeTrace(path string) (func(rules.Seen), func() error, error) {
	f, err := os.Create(filepath.Clean(path))
	if err != nil {
		return nil, nil, err
	}
	w := bufio.NewWriterSize(f, 1<<20)
	var failed error
	return func(s rules.Seen) {
			line, err := s.Line()
			if err == nil {
				w.Write(line)
				err = w.WriteByte('\n')
			}
			failed = errors.Join(failed, err)
		}, func() error {
			return errors.Join(failed, w.Flush(), f.Close())
		}, nil
}
