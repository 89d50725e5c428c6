package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// testEvent is a line of the output of go test -json.
type testEvent struct {
	Action  string
	Package string // empty in the events of a build
	Test    string // empty in an event of a whole package
	Output  string
}

// outcome collects the results of a run of go test.
type outcome struct {
	running  map[testName]bool
	failed   []testName
	crashed  []string            // packages in which a panic or a fatal error ended the process, so that some tests did not run
	packages []string            // packages that failed
	tested   map[string]bool     // packages whose tests were run
	output   map[testName]string // output of tests that are running or have failed; of a whole package under the empty name
	passed   int                 // number of tests that passed, without subtests
}

func newOutcome() *outcome {
	return &outcome{running: map[testName]bool{}, tested: map[string]bool{}, output: map[testName]string{}}
}

// read processes the output of go test -json up to its end. It copies the summary of each package to out.
func (o *outcome) read(from io.Reader, out io.Writer) error {
	for decoder := json.NewDecoder(from); ; {
		var event testEvent
		if err := decoder.Decode(&event); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("output of go test: %w", err)
		}
		o.add(event, out)
	}
}

// add processes one event.
func (o *outcome) add(event testEvent, out io.Writer) {
	test := testName{event.Package, event.Test}
	switch event.Action {
	case "run":
		o.running[test] = true
		o.tested[event.Package] = true
	case "output", "build-output":
		o.addOutput(test, event, out)
	case "pass", "skip":
		o.pass(test)
	case "fail":
		if event.Test == "" {
			o.packages = append(o.packages, event.Package)
			return
		}
		delete(o.running, test)
		o.failed = append(o.failed, test)
	}
}

// addOutput keeps the output of a test, and prints the summary of a package and the errors of a build.
func (o *outcome) addOutput(test testName, event testEvent, out io.Writer) {
	crashed := strings.HasPrefix(event.Output, "panic: ") || strings.HasPrefix(event.Output, "fatal error: ")
	if crashed && !slices.Contains(o.crashed, event.Package) {
		o.crashed = append(o.crashed, event.Package)
	}
	isSummary := strings.HasPrefix(event.Output, "ok  ") || strings.HasPrefix(event.Output, "?   ") || strings.HasPrefix(event.Output, "FAIL\t")
	if event.Action == "build-output" || event.Test == "" && isSummary {
		fmt.Fprint(out, event.Output)
		return
	}
	o.output[test] += event.Output
}

// pass records that a test or a package passed or was skipped.
func (o *outcome) pass(test testName) {
	delete(o.running, test)
	delete(o.output, test)
	if test.Name != "" && !strings.Contains(test.Name, "/") {
		o.passed++
	}
}

// verdict is the judgment on a run.
type verdict struct {
	unexpected []testName      // failures of tests that the list does not name
	known      []*knownFailure // entries whose test has failed
	mended     []*knownFailure // entries whose package was tested and whose test has not failed
	broken     []string        // what makes the whole run fail, whichever tests the list names
}

// judge compares the results of a run with the list of known failures.
func (o *outcome) judge(list []knownFailure, architecture string) (v verdict) {
	listed := func(test testName) *knownFailure {
		for i := range list {
			if list[i].appliesTo(architecture) && list[i].covers(test) {
				return &list[i]
			}
		}
		return nil
	}
	explained := map[string]bool{} // packages with a failed test
	for _, test := range o.failed {
		explained[test.Package] = true
		switch entry := listed(test); {
		case entry != nil && !slices.Contains(v.known, entry):
			v.known = append(v.known, entry)
		case entry == nil && !o.failedBelow(test):
			v.unexpected = append(v.unexpected, test)
		}
	}
	for _, name := range o.crashed {
		v.broken = append(v.broken, name+": a panic or a fatal error ended the process, so some tests did not run")
	}
	for _, name := range o.packages {
		if !explained[name] {
			v.broken = append(v.broken, name+": failed without a failed test")
		}
	}
	for test := range o.running {
		v.broken = append(v.broken, fmt.Sprintf("%s: %s has no result", test.Package, test.Name))
	}
	slices.Sort(v.broken)
	for i := range list {
		if entry := &list[i]; entry.appliesTo(architecture) && o.tested[entry.Package] && !slices.Contains(v.known, entry) {
			v.mended = append(v.mended, entry)
		}
	}
	return v
}

// covers reports whether the entry names this test or one of its parents.
func (f *knownFailure) covers(test testName) bool {
	return f.Package == test.Package && (f.Name == test.Name || strings.HasPrefix(test.Name, f.Name+"/"))
}

// failedBelow reports whether a subtest of the test has failed. Such a test is judged by its subtests.
func (o *outcome) failedBelow(test testName) bool {
	return slices.ContainsFunc(o.failed, func(other testName) bool {
		return other.Package == test.Package && strings.HasPrefix(other.Name, test.Name+"/")
	})
}

// green reports whether all failures are known ones.
func (v *verdict) green() bool { return len(v.unexpected) == 0 && len(v.broken) == 0 }

// write prints the verdict, with the output of the tests that failed.
func (v *verdict) write(out io.Writer, o *outcome) {
	for _, test := range v.unexpected {
		fmt.Fprintf(out, "FAILED: %s %s\n%s", test.Package, test.Name, o.outputOf(test))
	}
	for _, text := range v.broken {
		name, _, _ := strings.Cut(text, ": ")
		fmt.Fprintf(out, "FAILED: %s\n%s", text, o.outputOf(testName{Package: name}))
	}
	for _, entry := range v.known {
		fmt.Fprintf(out, "KNOWN FAILURE, passed over: %s %s\n", entry.Package, entry.Name)
		for _, line := range entry.details {
			fmt.Fprintf(out, "    %s\n", line)
		}
	}
	for _, entry := range v.mended {
		fmt.Fprintf(out, "did not fail in this run, though listed as a known failure: %s %s\n", entry.Package, entry.Name)
	}
}

// outputOf returns the output of a test and of its subtests. For a whole package, it is the package's output and that of all
// its tests that have not passed.
func (o *outcome) outputOf(test testName) string {
	var names []string
	for other := range o.output {
		if other.Package == test.Package && (test.Name == "" || other.Name == test.Name || strings.HasPrefix(other.Name, test.Name+"/")) {
			names = append(names, other.Name)
		}
	}
	slices.Sort(names)
	var all bytes.Buffer
	for _, name := range names {
		all.WriteString(o.output[testName{test.Package, name}])
	}
	return all.String()
}
