package config

import "birchstair/policy"

// The values of a load report, in the order of LoadFields.
const (
	loadInFlight = iota
	loadQueued
	loadFreeSlots
	loadFreeMemory
	loadRunTime
	loadValues // how many there are
)

// loadFieldNames are the values' names in the settings' report.fields.
var loadFieldNames = [loadValues]string{"active", "waiting", "x0", "x1", "avg_ms"}

// loadReportNames are their names in the reports of executors over HTTP.
var loadReportNames = [loadValues]string{"inflight", "queue", "x0", "x1", "latency_ms"}

// What the settings must say that x0 and x1 are; else they are not read.
const (
	meaningX0 = "free slots"
	meaningX1 = "free memory"
)

// maxLoad is more than any executor could report: such a report counts as none.
const maxLoad = 1e6

// LoadFields says where in a load report these values stand: jobs in flight, jobs queued, free slots, free memory, and the
// running time of the last job in milliseconds; -1 for one that is not there.
type LoadFields [loadValues]int

// Decode takes the load out of a report's values; ok is false where no value is there, or one is not plausible.
func (f LoadFields) Decode(values []float64) (load policy.Load, ok bool) {
	var known [loadValues]float64
	for i, place := range f {
		known[i] = -1
		if place < 0 || place >= len(values) {
			continue
		}
		known[i] = values[place]
		if !(known[i] >= 0 && known[i] <= maxLoad) { // the negation refuses NaN as well
			return load, false
		}
		ok = true
	}
	load = policy.Load{
		InFlight:   known[loadInFlight],
		Queued:     known[loadQueued],
		FreeSlots:  known[loadFreeSlots],
		FreeMemory: known[loadFreeMemory],
		RunTime:    -1,
	}
	if known[loadRunTime] >= 0 {
		load.RunTime = Seconds(known[loadRunTime] / 1000)
	}
	return load, ok
}

// ReportedValues says which values of a load report over HTTP the policy uses, by their names there.
func (s *Settings) ReportedValues() map[string]bool {
	used := map[string]bool{}
	for i, name := range loadReportNames {
		used[name] = s.LoadFields[i] >= 0
	}
	return used
}

// ReportsLoad says whether load reports have all that the policy needs of an answer.
func (s *Settings) ReportsLoad() bool {
	return min(s.LoadFields[loadInFlight], s.LoadFields[loadQueued], s.LoadFields[loadFreeSlots]) >= 0
}
