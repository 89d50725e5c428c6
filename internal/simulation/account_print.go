package simulation

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Print prints two tables. The first has the value lost to each cause, as a fraction of the offered value. The second
// has the time spent on each cause, for the work items that earned less than their full value.
func (a *Account) Print(to io.Writer) {
	fmt.Fprintf(to, "%s, seed %d, %d nodes, %d executors, %v, decided by: %s\n", a.Scenario, a.Seed, a.Nodes, a.Executors, time.Duration(a.Length), a.Policy)
	fmt.Fprintf(to, "Earned %.4f of what was offered; in the worst 10 s %.4f, of the worst track %.4f\n", ratio(a.All.Earned, a.All.Offered), a.Worst, a.WorstClass)
	rows := slices.Concat([]AccountRow{a.All}, a.Classes, a.Traffic, a.Subsets)
	fmt.Fprintln(to, "Lost, by cause, in parts of what was offered; sent: work sent to executors, against what was offered:")
	lostTable.print(to, rows)
	fmt.Fprintln(to, "Where the time of those that earned less went, in ms; slice: executors that a node used, load: how busy those were:")
	timeTable.print(to, rows)
	fmt.Fprintf(to, "Executors' load, least, quarters, most: %s\n", strings.Trim(fmt.Sprintf("%.3f", a.Busy), "[]"))
	a.printAttempts(to)
	if a.Violations > 0 {
		fmt.Fprintf(to, "%d rules broken\n", a.Violations)
	}
}

func (a *Account) printAttempts(to io.Writer) {
	fmt.Fprintf(to, "%d attempts, %d to another zone; %.3f of them waited at the executor; when those left, a core stood free at another executor\n"+
		"that the node had used for %.3f, in its zone for %.3f, anywhere for %.3f\n", a.Attempts, a.Crossings, a.Waited, a.IdleUsed, a.IdleZone, a.IdleAny)
	if a.All.lostByCause[NeverSent]+a.All.lostByCause[SentTooLate]+a.All.lostByCause[QueuedAtNode] > 0 {
		fmt.Fprintf(to, "Of what was lost at nodes (never sent, sent too late, held) a core had stood free when the batch job came for %.3f in the node's zone, for %.3f anywhere\n",
			a.QueuedIdleZone, a.QueuedIdleAny)
	}
}

// accountTable is a table with one row for each AccountRow. It has one column for each cause whose value is above 0 in
// at least one row.
type accountTable struct {
	header string                              // header of the columns before those of the causes, separated by tabs
	cells  func(r AccountRow) string           // cells of the columns before those of the causes, separated by tabs
	value  func(r AccountRow, c Cause) float64 // value in the column of a cause
	format string                              // format of the values in the columns of the causes
}

var lostTable = accountTable{
	header: "\tbatch jobs\tless\tnothing\tsent\toffered\tearned\tlost",
	cells: func(r AccountRow) string {
		earned := ratio(r.Earned, r.Offered)
		return fmt.Sprintf("%d\t%d\t%d\t%.3f\t%.0f\t%.4f\t%.4f", r.Works, r.EarnedLess, r.EarnedNothing, r.Sent, r.Offered, earned, 1-earned)
	},
	value:  func(r AccountRow, c Cause) float64 { return r.lostByCause[c] / max(r.Offered, 1e-9) },
	format: "%.4f\t",
}

var timeTable = accountTable{
	header: "\tslice\tload",
	cells: func(r AccountRow) string {
		if r.SubsetSize == 0 {
			return "\t"
		}
		return fmt.Sprintf("%.1f\t%.3f", r.SubsetSize, r.SubsetLoad)
	},
	value:  func(r AccountRow, c Cause) float64 { return r.timeByCause[c] * 1e3 / float64(max(r.EarnedLess, 1)) },
	format: "%.0f\t",
}

func (t accountTable) print(to io.Writer, rows []AccountRow) {
	var shown []Cause
	for c := range causeCount {
		if slices.ContainsFunc(rows, func(r AccountRow) bool { return t.value(r, c) > 0 }) {
			shown = append(shown, c)
		}
	}
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\t", t.header)
	for _, c := range shown {
		fmt.Fprintf(table, "%s\t", c)
	}
	fmt.Fprintln(table)
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t", r.Name, t.cells(r))
		for _, c := range shown {
			fmt.Fprintf(table, t.format, t.value(r, c))
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}
