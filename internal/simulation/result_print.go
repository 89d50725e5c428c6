package simulation

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Print prints the result in a readable form.
func (r *Result) Print(to io.Writer) {
	fmt.Fprintf(to, "%s, seed %d, %v\n", r.Scenario, r.Seed, time.Duration(r.Length))
	fmt.Fprintf(to, "  earned in the quoted time  %.3f, in the worst 10 s %.3f (from %v)\n", r.Earned, r.Worst, time.Duration(r.WorstAt))
	if r.Best > 0 {
		fmt.Fprintf(to, "  at the most %.3f could have been, by what nodes and executors were there\n", r.Best)
	}
	fmt.Fprintf(to, "  %-10s %7s %7s %7s %8s %8s %7s %7s %6s\n", "track", "earned", "works", "tries", "handled", "pushed", "broken", "no node", "lost")
	for _, class := range r.Classes {
		fmt.Fprintf(to, "  %-10s %7.3f %7d %7d %8d %8d %7d %7d %6d\n", class.Name, class.Earned, class.Works, class.Requests, class.Succeeded, class.Rejected, class.Failed, class.Unreached, class.Lost)
	}
	fmt.Fprintf(to, "  allocations %d, %.3f a batch job; %d to another zone; %d dials, %d led nowhere; %d starts waited\n",
		r.Attempts, ratio(float64(r.Attempts), float64(r.requests())), r.Crossings, r.Dials, r.FailedDials, r.QueuedStarts)
	fmt.Fprintf(to, "  most held by a node %d; %d clients left, %d of them while their batch jobs waited, %d attempts too late after that; %d executors fell over; %d tagged ran again too late to be dropped\n",
		r.MaxQueued, r.Left, r.LeftQueued, r.SentLate, r.Overloaded, r.DuplicateRuns)
	if r.PeerMessages > 0 {
		fmt.Fprintf(to, "  %d words between nodes\n", r.PeerMessages)
	}
	if r.Hedges+r.HealthChecks > 0 {
		fmt.Fprintf(to, "  %d copies; %d probes\n", r.Hedges, r.HealthChecks)
	}
	if r.Panics > 0 {
		fmt.Fprintf(to, "  the module broke %d times\n", r.Panics)
	}
	for _, b := range r.Violations {
		fmt.Fprintf(to, "  BROKEN %s\n", strings.ReplaceAll(b.String(), "\n", "\n  "))
	}
}
