package cluster

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"birchstair/policy"
)

// Describe returns what this node knows of its fleet, one thing a line, as operators and their tools read it.
func (f *State) Describe(now time.Duration) []string {
	lines := []string{fmt.Sprintf("node=%s alive=%d told=%d heard=%d", f.settings.Self, len(f.peers.alive)+1, f.peers.sent, f.peers.received)}
	lines = append(lines, f.describePeers(now)...)
	lines = append(lines, f.describeDrains(now)...)
	fleet := f.fleetRates(now)
	lines = append(lines,
		fmt.Sprintf("fleet offered=%.2f done=%.2f lost=%.2f", fleet.offered(), fleet.Completed, fleet.Expired),
		fmt.Sprintf("moves wished=%.2f wait=%.2f", fleet.Migrations, f.threshold.MigrationDelay),
		describeThreshold(f.threshold))
	for _, reason := range slices.Sorted(maps.Keys(f.peers.dropped)) {
		lines = append(lines, fmt.Sprintf("dropped=%d words %s", f.peers.dropped[reason], reason))
	}
	return lines
}

func (f *State) describePeers(now time.Duration) (lines []string) {
	for _, name := range slices.Sorted(slices.Values(f.peers.alive)) {
		s := f.peers.states[name]
		if s == nil {
			lines = append(lines, fmt.Sprintf("neighbour=%s age_ms=never", name))
			continue
		}
		lines = append(lines, fmt.Sprintf("neighbour=%s age_ms=%d offered=%.2f done=%.2f lost=%.2f",
			name, (now-s.receivedAt).Milliseconds(), s.rates.offered(), s.rates.Completed, s.rates.Expired))
	}
	return lines
}

func (f *State) describeDrains(now time.Duration) (lines []string) {
	for _, id := range slices.Sorted(maps.Keys(f.drains.states)) {
		d := f.drains.states[id]
		source := "a neighbour"
		if d.ownList {
			source = "own list"
		}
		lines = append(lines, fmt.Sprintf("drains=%s age_ms=%d by=%q", id, (now-d.seenAt).Milliseconds(), source))
	}
	return lines
}

func describeThreshold(threshold policy.AdmissionThreshold) string {
	if threshold.Level == 0 {
		return "cut_line none"
	}
	return fmt.Sprintf("cut_line rung=%d earnings_for_work=%.3g part=%.3f", threshold.Level, valueDensity(threshold.Level), threshold.AdmitFraction)
}

// valueDensity is the value per second of work at which a priority level begins: levels are half powers of two around 1.
func valueDensity(level int) float64 { return math.Exp2(float64(level-policy.PriorityLevels/2) / 2) }
