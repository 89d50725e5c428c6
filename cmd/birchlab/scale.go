package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"birchstair/internal/scale"
)

type scaleCmd struct {
	Binary    string        `type:"existingfile" default:"bin/birchstair" help:"The node."`
	Executors []int         `default:"12,100,400,1600,3200" help:"Hollow executors."`
	Of        []int         `default:"1,9" help:"How many nodes the one beside them counts itself among: from six on its slice is three in so many."`
	Rate      float64       `default:"200" help:"Starts a second, by schedule."`
	Work      time.Duration `default:"2ms" help:"That each task takes."`
	Span      time.Duration `default:"4s" help:"That each point is watched idle, and under load."`
	Rounds    int           `default:"3" help:"How often each point is measured, in turn."`
	JSON      string        `name:"json" type:"path" placeholder:"FILE" help:"Write the rows there, a line each."`
}

func (c *scaleCmd) Run() error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "birchlab-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o := scale.Options{Binary: binary, Hollow: []string{self}, Dir: dir, Rate: c.Rate, Work: c.Work, Idle: c.Span, Load: c.Span, Settle: 2 * time.Second}
	for round := range c.Rounds {
		for _, n := range c.Executors {
			for _, of := range c.Of {
				r := scale.Measure(scale.Point{Series: fmt.Sprintf("executors-of-%d", of), X: float64(n), Executors: n, Of: of, Real: 1, Seed: uint64(round + 1), Round: round}, o)
				print1(r)
				if c.JSON != "" {
					if err := appendLine(c.JSON, r); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

func print1(r scale.Row) {
	fmt.Printf("%s %g round %d:", r.Series, r.X, r.Round)
	if r.NotRun != "" {
		fmt.Printf(" NOT RUN: %s\n", r.NotRun)
		return
	}
	names := []string{}
	for name := range r.Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Printf(" %s=%.4g", n, r.Figures[n])
	}
	fmt.Println()
	for _, w := range r.Wrong {
		fmt.Println("  WRONG:", w)
	}
}
