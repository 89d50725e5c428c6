// Command testgate runs go test with the given arguments and fails unless each failure is listed in KNOWN-RED.txt, the list
// of known failures in the current folder. It prints the entries whose tests have failed. A failed build, a panic, a timeout
// and a failure outside the listed tests always count.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
)

// listPath is the list of known failures.
const listPath = "KNOWN-RED.txt"

func main() {
	green, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "testgate:", err)
	}
	if err != nil || !green {
		os.Exit(1)
	}
}

// run runs go test and prints the results. It reports whether all failures are known ones.
func run(args []string) (green bool, err error) {
	list, err := readKnownFailures(listPath)
	if err != nil {
		return false, err
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	results := newOutcome()
	if err := results.read(stdout, os.Stdout); err != nil {
		return false, err
	}
	failed := cmd.Wait() != nil
	verdict := results.judge(list, runtime.GOARCH)
	if failed && len(results.failed) == 0 && len(verdict.broken) == 0 {
		verdict.broken = append(verdict.broken, "go test: failed without a failed package")
	}
	verdict.write(os.Stdout, results)
	fmt.Printf("%d passed, %d failed\n", results.passed, len(verdict.unexpected)+len(verdict.broken))
	return verdict.green(), nil
}
