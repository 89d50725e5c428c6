package config

import "birchstair/policy"

// The values of a load report, in the order of LoadFields.
const (
	loadInFlight = iota
	loadQueued
	loadFreeSlots
	loadFreeMemory
	loadRunTime
	loadValues // number of values
)

// loadFieldNames are the names of the values in the key report.fields of the settings.
var loadFieldNames = [loadValues]string{"active", "waiting", "x0", "x1", "avg_ms"}

// loadReportNames are the names of the values in executors' load reports over HTTP.
var loadReportNames = [loadValues]string{"inflight", "queue", "x0", "x1", "latency_ms"}

// The values x0 and x1 are read only if the settings declare these meanings for them.
const (
	meaningX0 = "free slots"
	meaningX1 = "free memory"
)

// maxLoad is the maximum of a value in a load report. A report with a larger value is implausible, and is ignored.
const maxLoad = 1e6

// LoadFields holds the position of each value in a load report, or -1 if load reports lack the value. The values are:
// the number of jobs in flight, the number of jobs queued, free slots, free memory, and the running time of the last
// job in milliseconds.
type LoadFields [loadValues]int

// Decode decodes the values of a load report. ok is false if the report holds no known value, or an implausible one.
func (f LoadFields) Decode(values []float64) (load policy.Load, ok bool) {
	var known [loadValues]float64
	for i, position := range f {
		known[i] = -1
		if position < 0 || position >= len(values) {
			continue
		}
		known[i] = values[position]
		if !(known[i] >= 0 && known[i] <= maxLoad) { // the negated condition also refuses NaN
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

// ReportedValues maps the name of each value in load reports over HTTP to whether the policy uses the value.
func (s *Settings) ReportedValues() map[string]bool {
	used := map[string]bool{}
	for i, name := range loadReportNames {
		used[name] = s.LoadFields[i] >= 0
	}
	return used
}

// ReportsLoad reports whether load reports hold all values that the policy needs: jobs in flight, jobs queued and free
// slots.
func (s *Settings) ReportsLoad() bool {
	return min(s.LoadFields[loadInFlight], s.LoadFields[loadQueued], s.LoadFields[loadFreeSlots]) >= 0
}
