package simulation

import (
	"fmt"
	"testing"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/invariants"
	"birchstair/internal/node"
	"birchstair/policy"
)

// risingThresholdPolicy is a policy whose admission threshold never falls again.
type risingThresholdPolicy struct {
	node.Policy
	highest policy.AdmissionThreshold
}

func (m *risingThresholdPolicy) SetAdmissionThreshold(l policy.AdmissionThreshold) {
	if l.Level >= m.highest.Level {
		m.highest = l
	}
	m.Policy.SetAdmissionThreshold(m.highest)
}

// violatedBound returns the first bound of gossip that was violated.
func violatedBound(_, r Result) string {
	for _, b := range r.Violations {
		if b.Rule == invariants.GossipBound {
			return b.Text
		}
	}
	return ""
}

// Defects of gossip are caught: by a bound that is checked at each message, or by what the fleet earns or sends.
func TestInjectedGossipDefects(t *testing.T) {
	t.Parallel()
	for _, d := range []struct {
		name  string
		world func(*Scenario)
		plant injectedDefects
		wrong func(sound, r Result) string
	}{
		{"a node tells its own echo as news", nil, func() injectedDefects {
			heard := map[invariants.NodeID]map[cluster.NodeName]cluster.Rates{}
			return injectedDefects{
				event: changeEvent(func(_ *Simulation, n *simNode, ev node.GossipReceived) []node.Event {
					if heard[n.id] == nil {
						heard[n.id] = map[cluster.NodeName]cluster.Rates{}
					}
					heard[n.id][ev.Message.From] = ev.Message.Rates
					return []node.Event{ev}
				}),
				effect: changeEffect(func(_ *Simulation, n *simNode, to node.SendGossip) []node.Effect {
					for _, g := range heard[n.id] {
						to.Message.Rates.Completed += g.Completed
					}
					return []node.Effect{to}
				})}
		}(), violatedBound},
		{"an old view counts as fresh", func(s *Scenario) {
			s.Faults = []Fault{{Kind: "nodes-apart", At: Span(4 * time.Second), For: Span(9 * time.Second), Where: []string{"n0", "n1"}}}
		}, injectedDefects{cluster: func(s *cluster.Settings) { s.PeerStateTTL = time.Hour }}, violatedBound},
		{"a node tells more often than it may", nil, injectedDefects{cluster: func(s *cluster.Settings) { s.GossipInterval /= 2 }}, violatedBound},
		{"each node spends the whole budget of moves", func(s *Scenario) { s.Load.Utilization = 0.8 }, injectedDefects{
			event: changeEvent(func(_ *Simulation, _ *simNode, ev node.GossipReceived) []node.Event {
				ev.Message.Rates.Migrations = 0
				return []node.Event{ev}
			})}, func(sound, r Result) string {
			if float64(r.Attempts) > 1.2*float64(sound.Attempts) {
				return fmt.Sprintf("%d allocations instead of %d", r.Attempts, sound.Attempts)
			}
			return ""
		}},
		{"a cut line that never falls again", func(s *Scenario) {
			s.Load.Utilization = 0.6
			s.Faults = []Fault{{Kind: "burst", At: Span(2 * time.Second), For: Span(5 * time.Second), Size: 4}}
		}, injectedDefects{policy: func(_ *Simulation, _ *simNode, m node.Policy) node.Policy { return &risingThresholdPolicy{Policy: m} }}, func(_, r Result) string {
			last := r.seconds[12:15]
			asked, earned := 0.0, 0.0
			for _, s := range last {
				asked, earned = asked+s.valueOffered, earned+s.valueEarned
			}
			if earned < 0.9*asked {
				return fmt.Sprintf("earns %.2f long after the burst", earned/asked)
			}
			return ""
		}},
	} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Base()
			s.Name, s.Length = "fleet", Span(16*time.Second)
			s.Fleet.Nodes, s.Fleet.Executors, s.Fleet.Gossip = 6, 18, true
			s.Load.Utilization, s.Load.Retries, s.Load.RetryWait = 1.5, 3, Span(50*time.Millisecond)
			if d.world != nil {
				d.world(&s)
			}
			sound := New(s, 3, Options{}).Play()
			if len(sound.Violations) > 0 {
				t.Fatal("with nothing planted: ", sound.Violations[0])
			}
			if text := d.wrong(sound, sound); text != "" {
				t.Fatal("with nothing planted: ", text)
			}
			sim := New(s, 3, Options{MaxViolations: 1000})
			sim.defects = d.plant
			text := d.wrong(sound, sim.Play())
			if text == "" {
				t.Error("not caught")
			}
			t.Log(text)
		})
	}
}
