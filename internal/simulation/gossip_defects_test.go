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

// risingThresholdPolicy is a policy whose admission threshold never falls.
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

// violatedBound returns the text of the first violated gossip bound; "" if there is none.
func violatedBound(_, r Result) string {
	for _, b := range r.Violations {
		if b.Rule == invariants.GossipBound {
			return b.Text
		}
	}
	return ""
}

// TestInjectedGossipDefects verifies that defects of gossip are detected, by a violated bound or by the earned value or the number of attempts.
func TestInjectedGossipDefects(t *testing.T) {
	t.Parallel()
	for _, d := range []struct {
		name   string
		change func(*Scenario)
		inject injectedDefects
		detect func(sound, r Result) string // what shows the defect in r; sound is the result without it
	}{
		{"a node adds its peers' rates to its own", nil, func() injectedDefects {
			received := map[invariants.NodeID]map[cluster.NodeName]cluster.Rates{}
			return injectedDefects{
				event: changeEvent(func(_ *Simulation, n *simNode, ev node.GossipReceived) []node.Event {
					if received[n.id] == nil {
						received[n.id] = map[cluster.NodeName]cluster.Rates{}
					}
					received[n.id][ev.Message.From] = ev.Message.Rates
					return []node.Event{ev}
				}),
				effect: changeEffect(func(_ *Simulation, n *simNode, to node.SendGossip) []node.Effect {
					for _, g := range received[n.id] {
						to.Message.Rates.Completed += g.Completed
					}
					return []node.Effect{to}
				})}
		}(), violatedBound},
		{"outdated peer states count as fresh", func(s *Scenario) {
			s.Faults = []Fault{{Kind: "nodes-apart", At: Span(4 * time.Second), For: Span(9 * time.Second), Where: []string{"n0", "n1"}}}
		}, injectedDefects{cluster: func(s *cluster.Settings) { s.PeerStateTTL = time.Hour }}, violatedBound},
		{"a node sends messages more often than allowed", nil, injectedDefects{cluster: func(s *cluster.Settings) { s.GossipInterval /= 2 }}, violatedBound},
		{"each node uses the migration budget of the whole cluster", func(s *Scenario) { s.Load.Utilization = 0.8 }, injectedDefects{
			event: changeEvent(func(_ *Simulation, _ *simNode, ev node.GossipReceived) []node.Event {
				ev.Message.Rates.Migrations = 0
				return []node.Event{ev}
			})}, func(sound, r Result) string {
			if float64(r.Attempts) > 1.2*float64(sound.Attempts) {
				return fmt.Sprintf("%d attempts instead of %d", r.Attempts, sound.Attempts)
			}
			return ""
		}},
		{"an admission threshold that never falls", func(s *Scenario) {
			s.Load.Utilization = 0.6
			s.Faults = []Fault{{Kind: "burst", At: Span(2 * time.Second), For: Span(5 * time.Second), Size: 4}}
		}, injectedDefects{policy: func(_ *Simulation, _ *simNode, m node.Policy) node.Policy { return &risingThresholdPolicy{Policy: m} }}, func(_, r Result) string {
			last := r.seconds[12:15]
			offered, earned := 0.0, 0.0
			for _, s := range last {
				offered, earned = offered+s.valueOffered, earned+s.valueEarned
			}
			if earned < 0.9*offered {
				return fmt.Sprintf("earns a fraction of only %.2f long after the burst", earned/offered)
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
			if d.change != nil {
				d.change(&s)
			}
			sound := New(s, 3, Options{}).Play()
			if len(sound.Violations) > 0 {
				t.Fatal("without the defect: ", sound.Violations[0])
			}
			if text := d.detect(sound, sound); text != "" {
				t.Fatal("without the defect: ", text)
			}
			sim := New(s, 3, Options{MaxViolations: 1000})
			sim.defects = d.inject
			text := d.detect(sound, sim.Play())
			if text == "" {
				t.Error("the defect was not detected")
			}
			t.Log(text)
		})
	}
}
