package main

import (
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
)

// testName identifies a test by the import path of its package and its name. Name is the whole name, with the names of
// the parent tests before slashes.
type testName struct{ Package, Name string }

// knownFailure is an entry of the list of known failures.
type knownFailure struct {
	testName
	architectures []string // values of GOARCH on which the test is known to fail; empty for all
	details       []string // the lines that say how to run the test, what was seen, and which issue is open about it
}

// appliesTo reports whether the test is known to fail on this architecture.
func (f *knownFailure) appliesTo(architecture string) bool {
	return len(f.architectures) == 0 || slices.Contains(f.architectures, architecture)
}

// requiredDetails are the keys that the detail lines of each entry begin with, in this order.
var requiredDetails = [...]string{"command:", "seen:", "issue:"}

// readKnownFailures reads the list of known failures from a file. A missing file is an empty list.
func readKnownFailures(path string) ([]knownFailure, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	list, err := parseKnownFailures(string(text))
	if err != nil {
		return nil, &fs.PathError{Op: "parse", Path: path, Err: err}
	}
	return list, nil
}

// parseKnownFailures parses a list of known failures. An entry starts with a line that holds a package, a test and
// optionally architectures. Indented lines with the details follow, in the order of requiredDetails. Lines that begin
// with # are comments.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var list []knownFailure
	for line := range strings.Lines(text) {
		line = strings.TrimRight(line, " \r\n")
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case !strings.HasPrefix(line, " "):
			fields := strings.Fields(line)
			if len(fields) < 2 {
				return nil, fmt.Errorf("%q is not a package and a test", line)
			}
			list = append(list, knownFailure{testName: testName{fields[0], fields[1]}, architectures: fields[2:]})
		case len(list) == 0:
			return nil, fmt.Errorf("%q stands before the first entry", line)
		default:
			last := &list[len(list)-1]
			last.details = append(last.details, strings.TrimSpace(line))
		}
	}
	for _, entry := range list {
		if err := entry.checkDetails(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// checkDetails returns an error unless the entry has each of the required details.
func (f *knownFailure) checkDetails() error {
	if len(f.details) != len(requiredDetails) {
		return fmt.Errorf("%s %s has %d lines of details, want %d", f.Package, f.Name, len(f.details), len(requiredDetails))
	}
	for i, key := range requiredDetails {
		if value, ok := strings.CutPrefix(f.details[i], key); !ok || strings.TrimSpace(value) == "" {
			return fmt.Errorf("%s %s: line %q does not begin with %q and a value", f.Package, f.Name, f.details[i], key)
		}
	}
	return nil
}
