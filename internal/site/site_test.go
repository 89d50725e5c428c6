package site

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

// TestRefusedFiles checks that errors in a site file name the file, the line and the key, and suggest what was probably
// meant. A few valid files show that the checks do not refuse too much.
func TestRefusedFiles(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"",
		"[durable]\ndir = \"/d\"",
		"[durable]",
		"[durible]\ndir = \"/d\"",
		"[durable]\ndirectory = \"/d\"",
		"[durable]\ndir = \"/d\"\nkep = \"1h\"",
		"[durable]\ndir = \"/d\"\nkeep = 3600",
		"[durable]\ndir = \"/d\"\nkeep = \"1 day\"",
		"[durable]\ndir = \"/d\"\nkeep = \"10ms\"",
		"[durable]\ndir = \"/d\"\nmost = 64",
		"[durable]\ndir = \"/d\"\nmost = \"64MB\"",
		"[durable]\ndir = \"/d\"\nmost = \"8MiB\"\nsegment = \"4MiB\"",
		"[durable]\ndir = \"/d\"\nsegment = \"1KiB\"",
		"[durable]\ndir = \"/d\"\nin-hand = 0",
		"[durable]\ndir = \"/d\"\nleases = \"yes\"",
		"[durable]\ndir = \"/d\"\nask-every = \"1ms\"",
		"[durable]\ndir = \"/d\"\nouter-limit = \"-1s\"",
		"[durable\ndir = \"/d\"",
		"[fleet]",
		"[fleet]\nlisten = \"127.0.0.1:7946\"",
		"[fleet]\nlisten = \"127.0.0.1\"",
		"[fleet]\nlisten = \"127.0.0.1:0\"",
		"[fleet]\nlisten = \"10.0.0.4:7946\"",
		"[fleet]\nlisten = \"10.0.0.4:7946\"\ntrusted-network = true",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.2:7946\", \"there\"]",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nadvertise = \"192.168.1.1:1\"",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nevery = 250",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nevery = \"1ms\"",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\ntell = 0",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nview-for = \"500ms\"",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\ndrain-for = \"1s\"",
		"[fleet]\nlisten = \"127.0.0.1:7946\"\nseed = []",
	} {
		s, err := Parse("own.toml", []byte(text))
		result := fmt.Sprint(err)
		if err == nil {
			result = fmt.Sprintf("accepted, durable %v, fleet %v", s.Durable != nil, s.Cluster != nil)
		}
		fmt.Fprintf(&out, "%s\n    -> %s\n", strings.ReplaceAll(text, "\n", "\n  "), result)
	}
	golden.Compare(t, "broken-files.txt", out.String())
}

// TestExample checks that the example file is valid and fits the default memory of a node, but not a much smaller one.
func TestExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/site.example.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("site.example.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.FitsMemory(192 << 20); err != nil || s.Durable == nil {
		t.Error(err)
	}
	if err := s.FitsMemory(32 << 20); err == nil {
		t.Error("a log of 16 MiB was accepted for a node with 32 MiB of memory")
	}
	if s, err := Read(""); err != nil || s.Durable != nil {
		t.Errorf("no file: %+v, %v", s, err)
	}
}
