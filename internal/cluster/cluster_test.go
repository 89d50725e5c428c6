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

// tracePlayer replays a trace from testdata. A trace holds calls of a State's methods and, behind arrows, what they
// return:
//
//	0s alive a b c                       SetAlive
//	1s tick offered=38:10,34:5 completed=9 expired=1 waiting=2 capacity=12   Tick, with the load since the tick before
//	1s message a incarnation=1 seq=1 offered=38:10 completed=9 e3:5s:0s      Receive, with drains as executor:age:start
//	1s endpoint e3 draining started=0s   ObserveEndpoint with available, draining or removed; started=0s means long ago
//	2s is-draining e3 started=0s         IsDraining
//	2s expire up-to-date                 ExpireDrains, while the own endpoint list is up-to-date or out-of-date
//	2s describe                          Describe
type tracePlayer struct {
	t     *testing.T
	state *State
}

// Every trace in testdata gives the results that stand in it.
func TestTraces(t *testing.T) {
	golden.Replay(t, func(t *testing.T, lines []string) string {
		settings := Defaults("me", 5, 1)
		settings.Epoch, settings.DrainTTL = 0, 30*time.Second
		p, out := &tracePlayer{t: t, state: New(settings)}, []string{}
		for _, line := range lines {
			out = append(out, line)
			if words := strings.Fields(line); len(words) > 0 && words[0] != "#" {
				for _, text := range p.play(golden.Duration(t, words[0]), words[1:]) {
					out = append(out, golden.Arrow+text)
				}
			}
		}
		return strings.Join(out, "\n") + "\n"
	})
}

// play makes the call that a line describes, and returns the call's results as text.
func (p *tracePlayer) play(now time.Duration, words []string) []string {
	p.t.Helper()
	values := map[string]string{}
	for _, word := range words {
		if key, value, ok := strings.Cut(word, "="); ok {
			values[key] = value
		}
	}
	switch words[0] {
	case "alive":
		p.alive(words[1:])
	case "tick":
		return p.tick(now, values)
	case "message":
		return p.message(now, words, values)
	case "endpoint":
		state := policy.EndpointState(slices.Index([]string{"available", "draining", "removed"}, words[2]))
		startedAt := p.started(values)
		p.state.ObserveEndpoint(now, policy.ExecutorID(words[1]), startedAt, startedAt == 0, state)
	case "is-draining":
		started := golden.Duration(p.t, values["started"])
		return []string{fmt.Sprint(p.state.IsDraining(policy.ExecutorID(words[1]), started, started == 0))}
	case "expire":
		return p.expire(now, words[1] == "up-to-date")
	case "describe":
		return p.state.Describe(now)
	default:
		p.t.Fatalf("unknown call %q", words[0])
	}
	return nil
}

func (p *tracePlayer) alive(words []string) {
	var names []NodeName
	for _, word := range words {
		names = append(names, NodeName(word))
	}
	p.state.SetAlive(names)
}

func (p *tracePlayer) tick(now time.Duration, values map[string]string) (out []string) {
	p.t.Helper()
	rates := p.rates(values)
	load := policy.LoadSummary{Admitted: rates.Admitted, Completed: rates.Completed, Expired: rates.Expired, Migrations: rates.Migrations, Waiting: rates.Waiting}
	for level, sum := range rates.Offered {
		load.Offered[level] = sum
	}
	if value := values["capacity"]; value != "" {
		load.Capacity = p.number(value)
	}
	sent, threshold := p.state.Tick(now, load)
	for _, e := range sent {
		out = append(out, envelopeText(e))
	}
	text := fmt.Sprintf("threshold at level %d, %.2f of it admitted", threshold.Level, threshold.AdmitFraction)
	if threshold.MigrationDelay > 0 {
		text += fmt.Sprintf(", migrations wait %.2f of their slack", threshold.MigrationDelay)
	}
	return append(out, text)
}

func envelopeText(e Envelope) string {
	text := fmt.Sprintf("send to %s, message %d: offered %.1f, completed %.1f", e.To, e.Message.Seq, e.Message.Rates.offered(), e.Message.Rates.Completed)
	for _, d := range e.Message.Drains {
		text += fmt.Sprintf(", %s draining for %v", d.Executor, d.Age)
	}
	return text
}

func (p *tracePlayer) message(now time.Duration, words []string, values map[string]string) (out []string) {
	p.t.Helper()
	m := Message{From: NodeName(words[1]), Incarnation: 1, Seq: 1, Rates: p.rates(values)}
	if value := values["incarnation"]; value != "" {
		m.Incarnation = uint64(p.number(value))
	}
	if value := values["seq"]; value != "" {
		m.Seq = uint64(p.number(value))
	}
	for _, word := range words[2:] {
		if fields := strings.Split(word, ":"); len(fields) == 3 && !strings.Contains(word, "=") {
			m.Drains = append(m.Drains, Drain{Executor: policy.ExecutorID(fields[0]), Age: golden.Duration(p.t, fields[1]), ExecutorStart: golden.Duration(p.t, fields[2]).Milliseconds()})
		}
	}
	for _, id := range p.state.Receive(now, m) {
		out = append(out, fmt.Sprintf("%s is newly draining", id))
	}
	return out
}

func (p *tracePlayer) expire(now time.Duration, upToDate bool) (out []string) {
	for _, id := range p.state.ExpireDrains(now, upToDate) {
		out = append(out, fmt.Sprintf("%s has expired", id))
	}
	return out
}

func (p *tracePlayer) rates(values map[string]string) Rates {
	p.t.Helper()
	rates := Rates{Offered: map[int]float64{}}
	for key, value := range values {
		switch key {
		case "offered":
			rates.Offered = p.levels(value)
		case "admitted":
			rates.Admitted = p.number(value)
		case "completed":
			rates.Completed = p.number(value)
		case "expired":
			rates.Expired = p.number(value)
		case "migrations":
			rates.Migrations = p.number(value)
		case "waiting":
			rates.Waiting = p.number(value)
		}
	}
	return rates
}

// levels parses rates by priority level, such as 38:10,34:5.
func (p *tracePlayer) levels(text string) map[int]float64 {
	p.t.Helper()
	rates := map[int]float64{}
	for _, one := range strings.Split(text, ",") {
		level, rate, _ := strings.Cut(one, ":")
		number, err := strconv.Atoi(level)
		if err != nil {
			p.t.Fatal(err)
		}
		rates[number] = p.number(rate)
	}
	return rates
}

func (p *tracePlayer) number(text string) float64 {
	p.t.Helper()
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return x
}

func (p *tracePlayer) started(values map[string]string) time.Duration {
	p.t.Helper()
	if value := values["started"]; value != "" {
		return golden.Duration(p.t, value)
	}
	return 0
}

// TestStartIDs guards against a drain that does not count at some nodes: nodes that started before an executor and nodes that
// started after it gave its start numbers that differ by a millisecond, as a node's own start lies within one.
func TestStartIDs(t *testing.T) {
	executorStart := time.UnixMilli(1_764_600_000_123)
	for _, before := range []time.Duration{-time.Hour, -1500 * time.Microsecond, -time.Microsecond, 0, time.Microsecond, 999 * time.Microsecond, time.Millisecond, time.Hour + time.Nanosecond} {
		nodeStart := executorStart.Add(-before)
		s := New(Defaults("me", uint64(nodeStart.UnixMilli()), 1))
		if id := s.startID(executorStart.Sub(nodeStart), false); id != executorStart.UnixMilli() {
			t.Errorf("a node that started %v before the executor: start %d, want %d", before, id, executorStart.UnixMilli())
		}
	}
}
