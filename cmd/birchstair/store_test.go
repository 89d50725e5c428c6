package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/internal/store"
)

// capture runs a command and returns its output, followed by its error.
func capture(t *testing.T, run func() error) string {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	err = run()
	os.Stdout = stdout
	mustClose(t, w)
	text, _ := io.ReadAll(r)
	if err != nil {
		return string(text) + "error: " + err.Error() + "\n"
	}
	return string(text)
}

// TestStoreCommands checks the output of the commands for a store that is valid, in use, incomplete at the end or damaged.
func TestStoreCommands(t *testing.T) {
	dir := t.TempDir()
	day := time.UnixMilli(1_700_000_000_000).UTC()
	open := func() *store.Store {
		s, err := store.Open(store.Directory(dir), store.Options{SegmentBytes: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	put := func(r store.Record) {
		done := make(chan error, 2)
		r.At = day
		s.Append(r, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		put(store.Record{Kind: store.Accepted, ID: id, JobClass: "order", Deadline: day.Add(time.Hour), URI: "/x", IdempotencyKey: "t-" + id, Body: []byte("body")})
	}
	put(store.Record{Kind: store.AttemptStarted, ID: "a", Epoch: 1, Executor: "e1"})
	put(store.Record{Kind: store.AttemptEnded, ID: "a", Epoch: 1, NeverRan: true})
	put(store.Record{Kind: store.AttemptStarted, ID: "a", Epoch: 2, Executor: "e2"})
	put(store.Record{Kind: store.Final, ID: "b", Outcome: 1})
	put(store.Record{Kind: store.Released, ID: "c"})

	var out strings.Builder
	printOutput := func(title, text string) {
		fmt.Fprintf(&out, "%s\n%s", title, strings.ReplaceAll(text, dir, "DIR"))
	}
	printOutput("in use", capture(t, storeCheckCmd{dir}.Run))
	printOutput("compact, in use", capture(t, storeCompactCmd{dir}.Run))
	mustClose(t, s)
	printOutput("check", capture(t, storeCheckCmd{dir}.Run))
	printOutput("list", capture(t, storeListCmd{dir}.Run))
	printOutput("show a", capture(t, storeShowCmd{"a", dir}.Run))
	printOutput("show an unknown batch job", capture(t, storeShowCmd{"z", dir}.Run))
	printOutput("compact", capture(t, storeCompactCmd{dir}.Run))
	printOutput("list after compaction", capture(t, storeListCmd{dir}.Run))
	printOutput("an empty directory", capture(t, storeCheckCmd{t.TempDir()}.Run)[:6])

	last := filepath.Join(dir, "000000000002.log")
	whole, err := os.ReadFile(last)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(last, append(whole, "half a frame"...), 0o600); err != nil {
		t.Fatal(err)
	}
	printOutput("an incomplete record at the end", capture(t, storeCheckCmd{dir}.Run))
	flipped := append([]byte(nil), whole...)
	flipped[40] ^= 1
	if err := os.WriteFile(last, append(flipped, whole[16:]...), 0o600); err != nil {
		t.Fatal(err)
	}
	printOutput("a flipped bit", capture(t, storeCheckCmd{dir}.Run))
	golden.Compare(t, "store.txt", out.String())
}

// TestStoreTextOnOneLine guards against output that shows jobs or records which are not in the store: IDs, keys and paths come from
// clients, executors' names from discovery, and earlier versions accepted IDs with line breaks. `store show` takes an ID as it is
// shown.
func TestStoreTextOnOneLine(t *testing.T) {
	dir := t.TempDir()
	s, err := store.Open(store.Directory(dir), store.Options{SegmentBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	day := time.UnixMilli(1_700_000_000_000).UTC()
	done := make(chan error, 2)
	for _, r := range []store.Record{
		{Kind: store.Accepted, ID: "a\r\nb", At: day, JobClass: "order", Deadline: day, URI: "/caf\xe9", IdempotencyKey: "k\t1"},
		{Kind: store.AttemptStarted, ID: "a\r\nb", At: day, Epoch: 1, Executor: "e\n1"},
		{Kind: store.AttemptStarted, ID: "a\r\nb", At: day, Epoch: 2, Executor: "e\n1", Lease: "durable-a\r\nb-X"},
	} {
		s.Append(r, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	mustClose(t, s)
	list := capture(t, storeListCmd{dir}.Run)
	if lines := strings.Split(strings.TrimSpace(list), "\n"); len(lines) != 2 || !strings.HasPrefix(lines[1], `a\r\nb  order`) {
		t.Errorf("list:\n%s", list)
	}
	want := "2023-11-14 22:13:20.000  accepted: track order, outer limit 2023-11-14 22:13:20.000, /caf\\xe9, 0 bytes, tag k\\t1\n" +
		"2023-11-14 22:13:20.000  sent under epoch 1 to e\\n1\n" +
		"2023-11-14 22:13:20.000  sent under epoch 2 to e\\n1 as durable-a\\r\\nb-X\n"
	for _, id := range []string{"a\r\nb", `a\r\nb`} {
		if got := capture(t, storeShowCmd{id, dir}.Run); got != want {
			t.Errorf("show %q:\n%swant:\n%s", id, got, want)
		}
	}
}
