package cluster

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"birchstair/policy"
)

// Describe returns what this node knows of its cluster, one fact per line. Operators and their tools read these lines.
func (s *State) Describe(now time.Duration) []string {
	lines := []string{fmt.Sprintf("node=%s alive=%d told=%d heard=%d", s.settings.Self, len(s.peers.alive)+1, s.peers.sent, s.peers.received)}
	lines = append(lines, s.describePeers(now)...)
	lines = append(lines, s.describeDrains(now)...)
	total := s.clusterRates(now)
	// The figures are work per second: the work of the jobs that arrived (offered), were completed (done) and expired (lost).
	// "moves wished" is the work of the attempts that would be migrated without a limit.
	lines = append(lines,
		fmt.Sprintf("fleet offered=%.2f done=%.2f lost=%.2f", total.offered(), total.Completed, total.Expired),
		fmt.Sprintf("moves wished=%.2f wait=%.2f", total.Migrations, s.threshold.MigrationDelay),
		describeThreshold(s.threshold))
	for _, reason := range slices.Sorted(maps.Keys(s.peers.dropped)) {
		lines = append(lines, fmt.Sprintf("dropped=%d words %s", s.peers.dropped[reason], reason))
	}
	return lines
}

func (s *State) describePeers(now time.Duration) (lines []string) {
	for _, name := range slices.Sorted(slices.Values(s.peers.alive)) {
		peer := s.peers.states[name]
		if peer == nil {
			lines = append(lines, fmt.Sprintf("neighbour=%s age_ms=never", name))
			continue
		}
		lines = append(lines, fmt.Sprintf("neighbour=%s age_ms=%d offered=%.2f done=%.2f lost=%.2f",
			name, (now-peer.receivedAt).Milliseconds(), peer.rates.offered(), peer.rates.Completed, peer.rates.Expired))
	}
	return lines
}

func (s *State) describeDrains(now time.Duration) (lines []string) {
	for _, id := range slices.Sorted(maps.Keys(s.drains.states)) {
		d := s.drains.states[id]
		source := "a neighbour"
		if d.ownList {
			source = "own list"
		}
		lines = append(lines, fmt.Sprintf("drains=%s age_ms=%d by=%q", id, (now-d.seenAt).Milliseconds(), source))
	}
	return lines
}

func describeThreshold(threshold policy.AdmissionThreshold) string {
	// Operators' tools parse the names, so they stay: cut_line is the admission threshold, rung its priority level,
	// earnings_for_work the value density of that level, part the fraction of that level's work that is admitted.
	if threshold.Level == 0 {
		return "cut_line none"
	}
	return fmt.Sprintf("cut_line rung=%d earnings_for_work=%.3g part=%.3f", threshold.Level, valueDensity(threshold.Level), threshold.AdmitFraction)
}

// valueDensity returns the value per second of work that a priority level stands for. It is 1 at the middle level, and
// is multiplied by sqrt(2) with each level above.
func valueDensity(level int) float64 { return math.Exp2(float64(level-policy.PriorityLevels/2) / 2) }
