package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"birchstair/internal/golden"
)

// asProgram is the environment variable that makes the test binary run as the program.
const asProgram = "BIRCHSTAIR_SIM_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestHelp compares the help of the program and of each command to the golden file. The names of flags derive from Go fields.
func TestHelp(t *testing.T) {
	var out strings.Builder
	var print func(n *kong.Node, path []string)
	print = func(n *kong.Node, path []string) {
		cmd := exec.Command(os.Args[0], append(path, "--help")...)
		cmd.Env = append(os.Environ(), asProgram+"=1")
		text, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("%q --help: %v\n%s", path, err, text)
		}
		out.WriteString("$ " + strings.Join(append([]string{"birchstair-sim"}, append(path, "--help")...), " ") + "\n" + string(text) + "\n")
		for _, child := range n.Children {
			print(child, append(path[:len(path):len(path)], child.Name))
		}
	}
	print(kong.Must(&commands).Model.Node, nil)
	golden.Compare(t, "help.txt", out.String())
}
