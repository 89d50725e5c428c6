package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchstair/internal/oneline"
	"birchstair/internal/store"
)

// storeCmd has the commands that inspect or compact the store of durable batch jobs. They fail while a node uses the store.
type storeCmd struct {
	Check   storeCheckCmd   `cmd:"" help:"Read all records and report damage."`
	List    storeListCmd    `cmd:"" help:"List the batch jobs in the store."`
	Show    storeShowCmd    `cmd:"" help:"Show all records of one batch job."`
	Compact storeCompactCmd `cmd:"" help:"Rewrite the records that are still needed, and remove all others."`
}

type (
	storeCheckCmd struct {
		Dir string `arg:"" type:"existingdir" help:"The directory that durable.dir names."`
	}
	storeListCmd struct {
		Dir string `arg:"" type:"existingdir" help:"The directory that durable.dir names."`
	}
	storeShowCmd struct {
		ID  string `arg:"" help:"The batch job's id."`
		Dir string `arg:"" type:"existingdir" help:"The directory that durable.dir names."`
	}
	storeCompactCmd struct {
		Dir string `arg:"" type:"existingdir" help:"The directory that durable.dir names."`
	}
)

// progressInterval is the interval between a scan's progress reports on standard error.
const progressInterval = time.Second

// scanLocked locks a store and calls visit for each of its records. It reports progress on standard error.
func scanLocked(dir string, visit func(store.Record)) (segments []store.Segment, err error) {
	disk := store.Directory(dir)
	lock, err := disk.Lock()
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	reported, records := time.Now(), 0
	return store.Scan(disk, func(segment uint64, r store.Record, _ int) {
		if records++; time.Since(reported) > progressInterval {
			reported = time.Now()
			fmt.Fprintf(os.Stderr, "%d records, in segment %d\n", records, segment)
		}
		visit(r)
	})
}

// Run reads all records, prints a line for each segment and reports damage.
func (c storeCheckCmd) Run() error {
	segments, err := scanLocked(c.Dir, func(store.Record) {})
	for _, s := range segments {
		fmt.Printf("%s: %d records in %d bytes%s\n", s.Name, s.Records, s.CompleteBytes, describeSegment(s))
	}
	if err != nil {
		return err
	}
	if len(segments) == 0 {
		return fmt.Errorf("%s: no segments found: is this the directory of a store?", c.Dir)
	}
	fmt.Println("no damage found")
	return nil
}

// describeSegment returns what is special about a segment, as operators see it.
func describeSegment(s store.Segment) (text string) {
	if s.EarlierText > 0 {
		text += fmt.Sprintf(", %d of them with text that is not UTF-8, as an earlier version wrote it", s.EarlierText)
	}
	if s.EarlierFrames > 0 {
		text += fmt.Sprintf(", with %d frames of over 4 MiB, as an earlier version wrote them", s.EarlierFrames)
	}
	if s.Torn {
		text += ", with an incomplete record at the end, which was not acknowledged and is removed at the next start"
	}
	return text
}

// Run prints a line for each batch job in the store.
func (c storeListCmd) Run() error {
	states := store.JobStates{}
	if _, err := scanLocked(c.Dir, states.Apply); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	// Operators' scripts parse this output, so the column names must not change. TRACK is the job class, HANDED IN is the time
	// of acceptance, OUTER LIMIT is the deadline, and SENT is the number of attempts.
	fmt.Fprintln(w, "ID\tTRACK\tHANDED IN\tOUTER LIMIT\tSENT\tLAST RECORD")
	for _, id := range slices.Sorted(maps.Keys(states)) {
		state := states[id]
		accepted, records := state.Accepted, state.Records()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", oneline.Escape(id), oneline.Escape(accepted.JobClass), formatTime(accepted.At), formatTime(accepted.Deadline),
			len(state.Attempts), describeRecord(records[len(records)-1]))
	}
	return w.Flush()
}

// formatTime formats the time of a record.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05.000") }

// outcomeNames holds the printed names of final answers, indexed by leases.Outcome. Operators' scripts parse the names, so the names
// must not change. "handled" is leases.Succeeded, "pushed back" is leases.Rejected, and "broken off" is leases.Failed.
var outcomeNames = [...]string{"handled", "pushed back", "broken off"}

// describeRecord returns the kind and the most important values of a record, as operators see them.
func describeRecord(r store.Record) string {
	s := r.Kind.String()
	switch r.Kind {
	case store.AttemptStarted:
		s += fmt.Sprintf(" under epoch %d to %s", r.Epoch, oneline.Escape(r.Executor))
		if r.Lease != "" {
			s += " as " + oneline.Escape(r.Lease)
		}
	case store.AttemptEnded:
		s += fmt.Sprintf(", epoch %d", r.Epoch)
		if r.NeverRan {
			s += " never ran"
		}
	case store.Final:
		if int(r.Outcome) < len(outcomeNames) {
			s += ": " + outcomeNames[r.Outcome]
		}
	}
	return s
}

// Run prints the records of one batch job.
func (c storeShowCmd) Run() error {
	found := false
	if _, err := scanLocked(c.Dir, func(r store.Record) {
		if r.ID != c.ID && oneline.Escape(r.ID) != c.ID {
			return
		}
		found = true
		line := formatTime(r.At) + "  " + describeRecord(r)
		if r.Kind == store.Accepted {
			// Operators' scripts parse the labels, so the labels must not change. "track" is the job class, "outer limit" is the
			// deadline, and "tag" is the idempotency key.
			line += fmt.Sprintf(": track %s, outer limit %s, %s, %d bytes", oneline.Escape(r.JobClass), formatTime(r.Deadline), oneline.Escape(r.URI), len(r.Body))
			if r.IdempotencyKey != "" {
				line += ", tag " + oneline.Escape(r.IdempotencyKey)
			}
		}
		if r.Kind == store.Final {
			line += fmt.Sprintf(", %d bytes", len(r.Body))
		}
		fmt.Println(strings.TrimSpace(line))
	}); err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("%s: no record of %q", c.Dir, c.ID)
	}
	return nil
}

// Run compacts the store and prints its size before and after.
func (c storeCompactCmd) Run() error {
	s, err := store.Open(store.Directory(c.Dir), store.Options{SegmentBytes: 1 << 30})
	if err != nil {
		return err
	}
	before := s.Stats()
	err = s.Compact(func(done, all int) { fmt.Fprintf(os.Stderr, "segment %d of %d\n", done, all) })
	after := s.Stats()
	if err = errors.Join(err, s.Close()); err == nil {
		fmt.Printf("%d batch jobs: %d bytes in %d segments, before: %d bytes in %d segments\n",
			after.Jobs, after.Bytes, after.Segments, before.Bytes, before.Segments)
	}
	return err
}
