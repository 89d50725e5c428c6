// Package golden compares what a test prints with a trace that is kept in testdata and read by people. It is the
// tests' one file of helpers.
package golden

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew, to be read before they are kept")

// Arrow begins the lines of a trace that its player writes; all others are the player's input.
const Arrow = "    -> "

// Replay plays each trace in testdata from its own input and compares.
func Replay(t *testing.T, play func(t *testing.T, lines []string) string) {
	t.Helper()
	ReplayDir(t, "", play)
}

// ReplayDir plays each trace in a directory within testdata.
func ReplayDir(t *testing.T, dir string, play func(t *testing.T, lines []string) string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatal("no traces: ", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			var lines []string
			for line := range strings.Lines(read(t, file)) {
				if line = strings.TrimRight(line, "\n"); !strings.HasPrefix(line, Arrow) {
					lines = append(lines, line)
				}
			}
			compare(t, file, play(t, lines))
		})
	}
}

// Span reads a span of time in a trace.
func Span(t *testing.T, text string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Compare compares what was printed with a file in testdata.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	compare(t, filepath.Join("testdata", name), got)
}

func compare(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(read(t, file), got); diff != "" {
		t.Errorf("%s differs (-kept +got):\n%s", file, diff)
	}
}

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Program builds the node's program in a directory, and gives its file.
func Program(dir string) (string, error) {
	binary := filepath.Join(dir, "birchstair")
	if out, err := exec.Command("go", "build", "-o", binary, "birchstair/cmd/birchstair").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return binary, nil
}

// Main runs a package's tests with the node's program, built once; its file is put into binary before the first.
func Main(m *testing.M, binary *string) {
	dir, err := os.MkdirTemp("", "birchstair-")
	if err != nil {
		panic(err)
	}
	if *binary, err = Program(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		panic(err)
	}
	os.Exit(code)
}
