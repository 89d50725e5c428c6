// Package golden compares the output of a test with golden files in its testdata directory. Run the tests of a package
// with -update to write its golden files, and read the difference before committing it.
//
// A golden trace is a golden file with input and output: the lines that begin with Arrow are output, and all others are
// the input that Replay passes to the test. The package also builds the node's program for tests that run it.
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

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

// Arrow begins the output lines of a golden trace. All other lines are input.
const Arrow = "    -> "

// Replay runs a subtest for each golden trace testdata/*.txt. The subtest calls play with the input lines, and compares
// the result with the file. The result must contain the input lines too.
func Replay(t *testing.T, play func(t *testing.T, lines []string) string) {
	t.Helper()
	ReplayDir(t, "", play)
}

// ReplayDir does the same as Replay for the golden traces in a subdirectory of testdata.
func ReplayDir(t *testing.T, dir string, play func(t *testing.T, lines []string) string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden traces in testdata/%s: %v", dir, err)
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

// Duration parses a duration in a golden trace. It fails the test if the text is not a duration.
func Duration(t *testing.T, text string) time.Duration {
	t.Helper()
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Compare compares output with a golden file, whose name is relative to testdata. It fails the test if they differ.
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
		t.Errorf("%s differs (-want +got):\n%s", file, diff)
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

// BuildProgram builds the node's program into a directory, and returns the path of the binary.
func BuildProgram(dir string) (string, error) {
	binary := filepath.Join(dir, "birchstair")
	if out, err := exec.Command("go", "build", "-o", binary, "birchstair/cmd/birchstair").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the node's program: %w\n%s", err, out)
	}
	return binary, nil
}

// Main runs the tests of a package that needs the node's program, and exits. Before the first test, it builds the
// program and stores the path in binary. Call it from TestMain.
func Main(m *testing.M, binary *string) {
	dir, err := os.MkdirTemp("", "birchstair-")
	if err != nil {
		panic(err)
	}
	if *binary, err = BuildProgram(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		panic(err)
	}
	os.Exit(code)
}
