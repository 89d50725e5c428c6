package main

import (
	"io"
	"strings"
	"testing"
)

const exampleList = `# a comment
example/p TestKnown arm64
    command: go test ./p
    seen: digits differ
    issue: 60
example/p TestParent/one
    command: go test ./p
    seen: late
    issue: 59
`

// TestJudge checks that only failures of listed tests, on their architecture, are passed over.
func TestJudge(t *testing.T) {
	list, err := parseKnownFailures(exampleList)
	if err != nil {
		t.Fatal(err)
	}
	event := func(action, test, output string) string {
		return `{"Action":"` + action + `","Package":"example/p","Test":"` + test + `","Output":"` + output + `"}` + "\n"
	}
	failed := func(tests ...string) (events string) {
		for _, test := range tests {
			events += event("run", test, "") + event("fail", test, "")
		}
		return events + event("fail", "", "")
	}
	for _, c := range []struct {
		name, architecture, events string
		green                      bool
		known                      int
	}{
		{"nothing fails", "arm64", event("run", "TestA", "") + event("pass", "TestA", "") + event("pass", "", ""), true, 0},
		{"a listed test", "arm64", failed("TestKnown"), true, 1},
		{"a subtest of a listed test", "arm64", failed("TestKnown/x", "TestKnown"), true, 1},
		{"a listed test on another architecture", "amd64", failed("TestKnown"), false, 0},
		{"a listed subtest and its parent", "amd64", failed("TestParent/one", "TestParent"), true, 1},
		{"another subtest beside a listed one", "amd64", failed("TestParent/one", "TestParent/two", "TestParent"), false, 1},
		{"the parent of a listed subtest alone", "amd64", failed("TestParent"), false, 0},
		{"a test whose name begins like a listed one", "arm64", failed("TestKnownToo"), false, 0},
		{"another test beside a listed one", "arm64", failed("TestKnown", "TestB"), false, 1},
		{"a panic in a listed test", "arm64", event("output", "TestKnown", "panic: x") + failed("TestKnown"), false, 1},
		{"a fatal error in a listed test", "arm64", event("output", "TestKnown", "fatal error: x") + failed("TestKnown"), false, 1},
		{"a build that fails", "arm64", event("fail", "", ""), false, 0},
		{"a test without a result", "arm64", event("run", "TestB", "") + failed("TestKnown"), false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOutcome()
			if err := o.read(strings.NewReader(c.events), io.Discard); err != nil {
				t.Fatal(err)
			}
			v := o.judge(list, c.architecture)
			if v.green() != c.green || len(v.known) != c.known {
				t.Errorf("green %v with %d known failures, want %v with %d: %+v", v.green(), len(v.known), c.green, c.known, v)
			}
		})
	}
}

// TestKnownFailureDetails checks that an entry without its details is an error.
func TestKnownFailureDetails(t *testing.T) {
	for _, text := range []string{
		"example/p\n",
		"    command: go test\n",
		"example/p TestA\n",
		"example/p TestA\n    command: go test\n    seen: it fails\n",
		"example/p TestA\n    command: go test\n    seen:\n    issue: 1\n",
		"example/p TestA\n    seen: it fails\n    command: go test\n    issue: 1\n",
	} {
		if _, err := parseKnownFailures(text); err == nil {
			t.Errorf("no error for %q", text)
		}
	}
	if list, err := readKnownFailures("no-such-file"); err != nil || len(list) != 0 {
		t.Errorf("a missing list: %v, %v", list, err)
	}
}
