package cluster

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/policy"
)

// A trace in testdata holds what a node is told of its fleet and, behind arrows, what it makes of it:
//
//	0s alive a b c                       who is held for alive
//	1s tick offered=38:10,34:5 done=9 lost=1 waiting=2 capacity=12   a spell ends, with what the module saw in it
//	1s word a life=1 seq=1 offered=38:10 done=9 e3:5s:0s             a word: drains as executor:age:born in s
//	1s list e3 draining born=0s          what the own list says: up, draining, gone
//	2s old follows                       drains that are too old are looked for; the list follows, or silent
//	2s show                              all that it knows
type player struct {
	t *testing.T
	f *Fleet
}

func TestTraces(t *testing.T) {
	golden.Replay(t, func(t *testing.T, lines []string) string {
		s := Defaults("me", 5, 1)
		s.Epoch, s.DrainTTL = 0, 30*time.Second
		p, out := &player{t: t, f: New(s)}, []string{}
		for _, line := range lines {
			out = append(out, line)
			if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
				for _, text := range p.play(golden.Span(t, words[0]), words[1:]) {
					out = append(out, golden.Arrow+text)
				}
			}
		}
		return strings.Join(out, "\n") + "\n"
	})
}

func (p *player) rungs(text string) (all map[int]float64) {
	all = map[int]float64{}
	for _, one := range strings.Split(text, ",") {
		rung, x, _ := strings.Cut(one, ":")
		r, err := strconv.Atoi(rung)
		if err != nil {
			p.t.Fatal(err)
		}
		all[r] = p.figure(x)
	}
	return all
}

func (p *player) figure(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return x
}

// play takes one line in.
func (p *player) play(now time.Duration, words []string) (out []string) {
	value := map[string]string{}
	for _, w := range words {
		if key, v, ok := strings.Cut(w, "="); ok {
			value[key] = v
		}
	}
	figures := Rates{Offered: map[int]float64{}}
	for key, v := range value {
		switch key {
		case "offered":
			figures.Offered = p.rungs(v)
		case "admitted":
			figures.Admitted = p.figure(v)
		case "done":
			figures.Completed = p.figure(v)
		case "lost":
			figures.Expired = p.figure(v)
		case "moves":
			figures.Migrations = p.figure(v)
		case "waiting":
			figures.Waiting = p.figure(v)
		}
	}
	switch words[0] {
	case "alive":
		var names []NodeName
		for _, w := range words[1:] {
			names = append(names, NodeName(w))
		}
		p.f.SetAlive(names)
	case "tick":
		t := policy.LoadSummary{Admitted: figures.Admitted, Completed: figures.Completed, Expired: figures.Expired, Migrations: figures.Migrations, Waiting: figures.Waiting}
		for rung, x := range figures.Offered {
			t.Offered[rung] = x
		}
		if v := value["capacity"]; v != "" {
			t.Capacity = p.figure(v)
		}
		told, line := p.f.Tick(now, t)
		for _, to := range told {
			text := fmt.Sprintf("tell %s, word %d: offered %.1f, done %.1f", to.To, to.Message.Seq, to.Message.Rates.offered(), to.Message.Rates.Completed)
			for _, d := range to.Message.Drains {
				text += fmt.Sprintf(", %s drains, %v old", d.Executor, d.Age)
			}
			out = append(out, text)
		}
		text := fmt.Sprintf("cut line at rung %d, %.2f of it taken", line.Level, line.AdmitFraction)
		if line.MigrationDelay > 0 {
			text += fmt.Sprintf(", moves wait %.2f of their slack", line.MigrationDelay)
		}
		out = append(out, text)
	case "word":
		w := Message{From: NodeName(words[1]), Incarnation: 1, Seq: 1, Rates: figures}
		if v := value["life"]; v != "" {
			w.Incarnation = uint64(p.figure(v))
		}
		if v := value["seq"]; v != "" {
			w.Seq = uint64(p.figure(v))
		}
		for _, text := range words[2:] {
			if part := strings.Split(text, ":"); len(part) == 3 && !strings.Contains(text, "=") {
				w.Drains = append(w.Drains, Drain{Executor: policy.ExecutorID(part[0]), Age: golden.Span(p.t, part[1]), Incarnation: golden.Span(p.t, part[2]).Milliseconds()})
			}
		}
		for _, id := range p.f.Receive(now, w) {
			out = append(out, fmt.Sprintf("%s is news", id))
		}
	case "list":
		state := policy.EndpointState(slices.Index([]string{"up", "draining", "gone"}, words[2]))
		born := time.Duration(0)
		if v := value["born"]; v != "" {
			born = golden.Span(p.t, v)
		}
		p.f.ObserveEndpoint(now, policy.ExecutorID(words[1]), born, born == 0, state)
	case "drains":
		born := golden.Span(p.t, value["born"])
		out = append(out, fmt.Sprint(p.f.IsDraining(policy.ExecutorID(words[1]), born, born == 0)))
	case "old":
		for _, id := range p.f.ExpireDrains(now, words[1] == "follows") {
			out = append(out, fmt.Sprintf("%s is forgotten", id))
		}
	case "show":
		out = p.f.Describe(now)
	default:
		p.t.Fatalf("no line begins with %q", words[0])
	}
	return out
}
