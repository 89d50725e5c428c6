package main

import (
	"io"
	"os"
	"sync"
	"testing"

	"birchstair/internal/golden"
)

var programDir string // directory of the built program; empty until it is built

// build builds the program once for all tests that start it.
var build = sync.OnceValues(func() (binary string, err error) {
	if programDir, err = os.MkdirTemp("", "birchstair-test-"); err != nil {
		return "", err
	}
	return golden.BuildProgram(programDir)
})

// program returns the path of the built program.
func program(t *testing.T) string {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// closeAtEnd closes a file when the test ends.
func closeAtEnd(t *testing.T, f *os.File) {
	t.Helper()
	t.Cleanup(func() { mustClose(t, f) })
}

// mustClose closes f, which must succeed.
func mustClose(t *testing.T, f io.Closer) {
	t.Helper()
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// send writes text to a connection, which must succeed.
func send(t *testing.T, to io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Errorf("sending %.40q: %v", text, err)
	}
}

// TestMain removes the built program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		if err := os.RemoveAll(programDir); err != nil {
			panic(err)
		}
	}
	os.Exit(code)
}
