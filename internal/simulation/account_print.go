package simulation

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes it for people: in parts of what each row was offered, then where the time of those that earned less went.
func (a *Account) Print(to io.Writer) {
	fmt.Fprintf(to, "%s, seed %d, %d nodes, %d executors, %v, decided by: %s\n", a.Scenario, a.Seed, a.Nodes, a.Executors, time.Duration(a.Length), a.Policy)
	fmt.Fprintf(to, "Earned %.4f of what was offered; in the worst 10 s %.4f, of the worst track %.4f\n", part(a.All.Earned, a.All.Offered), a.Worst, a.WorstTrack)
	rows := slices.Concat([]AccountRow{a.All}, a.Tracks, a.Traffic, a.Slices)
	tab := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	table := func(head string, figures func(r AccountRow) string, of func(r AccountRow, c Cause) float64, format string) {
		var shown []Cause
		for c := range causes {
			if slices.ContainsFunc(rows, func(r AccountRow) bool { return of(r, c) > 0 }) {
				shown = append(shown, c)
			}
		}
		fmt.Fprintf(tab, "%s\t", head)
		for _, c := range shown {
			fmt.Fprintf(tab, "%s\t", c)
		}
		fmt.Fprintln(tab)
		for _, r := range rows {
			fmt.Fprintf(tab, "%s\t%s\t", r.Name, figures(r))
			for _, c := range shown {
				fmt.Fprintf(tab, format+"\t", of(r, c))
			}
			fmt.Fprintln(tab)
		}
		tab.Flush()
	}
	fmt.Fprintln(to, "Lost, by cause, in parts of what was offered; sent: work sent to executors, against what was offered:")
	table("\tbatch jobs\tless\tnothing\tsent\toffered\tearned\tlost", func(r AccountRow) string {
		return fmt.Sprintf("%d\t%d\t%d\t%.3f\t%.0f\t%.4f\t%.4f", r.Works, r.Less, r.Never, r.Sent, r.Offered, part(r.Earned, r.Offered), 1-part(r.Earned, r.Offered))
	}, func(r AccountRow, c Cause) float64 { return r.lostByCause[c] / max(r.Offered, 1e-9) }, "%.4f")
	fmt.Fprintln(to, "Where the time of those that earned less went, in ms; slice: executors that a node used, load: how busy those were:")
	table("\tslice\tload", func(r AccountRow) string {
		if r.Slice == 0 {
			return "\t"
		}
		return fmt.Sprintf("%.1f\t%.3f", r.Slice, r.Load)
	},
		func(r AccountRow, c Cause) float64 { return r.timeByCause[c] * 1e3 / float64(max(r.Less, 1)) }, "%.0f")
	fmt.Fprintf(to, "Executors' load, least, quarters, most: %s\n", strings.Trim(fmt.Sprintf("%.3f", a.Busy), "[]"))
	fmt.Fprintf(to, "%d attempts, %d to another zone; %.3f of them waited at the executor; when those left, a core stood free at another executor\n"+
		"that the node had used for %.3f, in its zone for %.3f, anywhere for %.3f\n", a.Attempts, a.Crossings, a.Waited, a.FreeUsed, a.FreeZone, a.FreeAny)
	if a.All.lostByCause[NeverSent]+a.All.lostByCause[SentTooLate]+a.All.lostByCause[HeldAtNode] > 0 {
		fmt.Fprintf(to, "Of what was lost at nodes (never sent, sent too late, held) a core had stood free when the batch job came for %.3f in the node's zone, for %.3f anywhere\n",
			a.HeldZone, a.HeldAny)
	}
	if a.Broken > 0 {
		fmt.Fprintf(to, "%d rules broken\n", a.Broken)
	}
}
