package harness

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/invariants"
	"birchstair/internal/simulation"
	"birchstair/policy"
)

// played are the kinds of fault that the rig can do.
var played = []emulator.Kind{emulator.Slow, emulator.Errors, emulator.Mute, emulator.Crash, emulator.DrainOff, emulator.ListLate, emulator.ListLost, emulator.ListCut,
	emulator.NodeKilled, emulator.NodeRestart, emulator.NodeStopped, emulator.NodesApart, emulator.WordsLost, emulator.Burst, emulator.HeavyTail}

// Fits says what of a scenario the rig can't play.
func Fits(s simulation.Scenario) error {
	for i, f := range s.Faults {
		if !slices.Contains(played, f.Kind) {
			return fmt.Errorf("fault[%d].kind: %q is not played with real processes, only %v", i, f.Kind, played)
		}
	}
	switch {
	case s.Fleet.Nodes > 60:
		return fmt.Errorf("fleet.nodes: %d is over 60 real processes", s.Fleet.Nodes)
	case s.Fleet.Nodes*s.Fleet.Executors > 6000:
		return fmt.Errorf("fleet.executors: over 6000 ways from %d nodes to %d executors", s.Fleet.Nodes, s.Fleet.Executors)
	case s.Load.Of == 0 || s.Load.Loops > 0:
		return fmt.Errorf("load.of: real processes are played with an open load, without loops")
	}
	return nil
}

// script puts a fault on the clock.
func (r *Rig) script(f emulator.Fault) {
	r.after(warmUp+f.At, func() {
		r.note("FAULT: %s for %v, %.3g, at %v", f.Kind, f.For, f.Size, f.Where)
		r.begin(f)
		if f.For > 0 {
			r.after(f.For, func() {
				r.note("FAULT over: %s at %v", f.Kind, f.Where)
				r.endFault(f)
			})
		}
	})
}

func (r *Rig) onExecutors(f emulator.Fault, what func(*executor)) {
	for _, x := range r.executors {
		if f.Touches(string(x.ID), r.s.Fleet.Zones[x.Zone]) {
			what(x)
		}
	}
}

func (r *Rig) onNodes(f emulator.Fault, what func(*proc)) {
	for _, p := range r.nodes {
		if f.Touches(p.name, r.s.Fleet.Zones[p.zone]) {
			what(p)
		}
	}
}

func (r *Rig) begin(f emulator.Fault) {
	switch f.Kind {
	case emulator.Slow, emulator.Errors, emulator.Mute:
		r.onExecutors(f, func(x *executor) {
			x.faults = append(x.faults, f)
			x.suffer()
		})
	case emulator.Crash:
		r.onExecutors(f, func(x *executor) {
			if x.downs++; x.Up {
				x.crash()
				r.change(x.entry(policy.Removed))
			}
		})
	case emulator.DrainOff:
		r.onExecutors(f, func(x *executor) { r.drain(x, f) })
	case emulator.ListLate:
		r.discovery.Late(time.Duration(f.Size * 1e9))
		r.checker.Apart(invariants.Nobody, r.now()+time.Duration(r.s.Fleet.ListLag)+time.Duration(f.Size*1e9))
	case emulator.ListLost:
		r.discovery.Silence(true)
		r.checker.Cut(r.now(), invariants.Nobody, true)
	case emulator.ListCut:
		r.onNodes(f, func(p *proc) { p.deaf = true; r.checker.Cut(r.now(), p.id, true) })
	case emulator.NodeKilled:
		r.onNodes(f, func(p *proc) {
			if p.downs++; p.up {
				p.lose()
				p.cmd.Process.Kill()
			}
		})
	case emulator.NodeRestart:
		r.onNodes(f, func(p *proc) {
			p.downs++
			p.leaving = r.now()
			p.signal(syscall.SIGTERM)
		})
	case emulator.NodeStopped:
		r.onNodes(f, func(p *proc) {
			p.signal(syscall.SIGSTOP)
			p.stopped = true
			r.see(invariants.Seen{What: invariants.StoodStill, Node: p.id})
			r.voidAt(p)
		})
	case emulator.NodesApart:
		r.onNodes(f, func(p *proc) { p.apart = true })
	case emulator.WordsLost:
		r.wordsLost = f.Size
	case emulator.Burst:
		for _, c := range r.clients {
			c.Burst = f.Size
		}
	case emulator.HeavyTail:
		for _, c := range r.clients {
			c.Tail = emulator.TailOf(f.Size)
		}
	}
}

func (r *Rig) endFault(f emulator.Fault) {
	switch f.Kind {
	case emulator.Slow, emulator.Errors, emulator.Mute:
		r.onExecutors(f, func(x *executor) {
			x.faults = emulator.Without(x.faults, f)
			x.suffer()
		})
	case emulator.Crash:
		r.onExecutors(f, func(x *executor) { x.back() })
	case emulator.ListLate:
		r.discovery.Late(0)
		r.changed()
	case emulator.ListLost:
		r.discovery.Silence(false)
		r.checker.Cut(r.now(), invariants.Nobody, false)
		r.changed()
	case emulator.ListCut:
		r.onNodes(f, func(p *proc) { p.deaf = false; r.checker.Cut(r.now(), p.id, false) })
		r.changed()
	case emulator.NodeKilled, emulator.NodeRestart:
		r.onNodes(f, func(p *proc) { p.back() })
	case emulator.NodeStopped:
		r.onNodes(f, func(p *proc) {
			p.stopped, p.stoppedA = false, r.now()+2*slack
			r.see(invariants.Seen{What: invariants.WentOn, Node: p.id})
			r.voidAt(p)
			p.signal(syscall.SIGCONT)
		})
	case emulator.NodesApart:
		r.onNodes(f, func(p *proc) { p.apart = false })
	case emulator.WordsLost:
		r.wordsLost = r.s.Fleet.WordsLost
	case emulator.Burst:
		for _, c := range r.clients {
			c.Burst = 0
		}
	case emulator.HeavyTail:
		for _, c := range r.clients {
			c.Tail = emulator.Tail{}
		}
	}
}

// voidAt: what a node that is gone or stands still has in hand is late or lost by no doing of its own.
func (r *Rig) voidAt(p *proc) {
	for _, t := range r.tries {
		if t.p == p {
			t.void = true
		}
	}
}

// wasStopped says whether a node stands still or did just now.
func (p *proc) wasStopped() bool { return p.stopped || p.r.now() < p.stoppedA }

func (x *executor) suffer() { x.does(x.Suffer(x.r.now(), emulator.Together(x.faults))) }

// back ends one fault that keeps an executor down.
func (x *executor) back() {
	if x.downs--; x.downs <= 0 {
		x.downs = 0
		x.restart()
	}
}

// back ends one fault that keeps a node down.
func (p *proc) back() {
	if p.downs--; p.downs > 0 {
		return
	}
	p.downs = 0
	if p.up { // it is still on its way out
		p.downs = 1
		p.r.after(100*time.Millisecond, p.back)
		return
	}
	if err := p.begin(); err != nil {
		p.r.wrong("node %s does not start again: %v", p.name, err)
	}
}

// drain: the list says so first; later the executor takes nothing new, ends, and starts again cold when the fault is over.
func (r *Rig) drain(x *executor, f emulator.Fault) {
	if !x.Up || x.downs > 0 {
		return
	}
	x.downs++
	lives := x.lives
	r.change(x.entry(policy.Draining))
	r.after(f.For*3/4, func() {
		if x.Up && x.lives == lives {
			x.crash()
			r.change(x.entry(policy.Removed))
		}
	})
	r.after(f.For, x.back)
}
