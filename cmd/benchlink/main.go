// Benchlink connects the policy to the benchmark simulator, over standard input and output.
package main

import (
	"fmt"
	"os"

	"birchstair/internal/benchwire"
)

func main() {
	if err := benchwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
