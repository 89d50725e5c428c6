package main

import (
	"os"
	"sync"
	"testing"

	"birchstair/internal/golden"
)

var programDir string // empty until the program is built

// build builds the program once for all tests that start it.
var build = sync.OnceValues(func() (binary string, err error) {
	if programDir, err = os.MkdirTemp("", "birchstair-test-"); err != nil {
		return "", err
	}
	return golden.Program(programDir)
})

// program is the program's file.
func program(t *testing.T) string {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		os.RemoveAll(programDir)
	}
	os.Exit(code)
}
