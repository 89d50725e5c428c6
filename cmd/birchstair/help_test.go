package main

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"birchstair/internal/golden"
)

// TestHelp pins the help of the program and of each command. A renamed field would change the name of a command or flag.
func TestHelp(t *testing.T) {
	var out strings.Builder
	var print func(n *kong.Node, path []string)
	print = func(n *kong.Node, path []string) {
		text, err := exec.Command(program(t), append(path, "--help")...).CombinedOutput()
		if err != nil {
			t.Fatalf("%q --help: %v\n%s", path, err, text)
		}
		out.WriteString("$ " + strings.Join(append([]string{"birchstair"}, append(path, "--help")...), " ") + "\n" + string(text) + "\n")
		for _, child := range n.Children {
			print(child, append(path[:len(path):len(path)], child.Name))
		}
	}
	print(kong.Must(&commands).Model.Node, nil)
	golden.Compare(t, "help.txt", out.String())
}
