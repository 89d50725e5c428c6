package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDeployList checks the list of decision files in deploy/balancer.toml: each listed file must exist, and there must be an
// entry for each directory of golden traces.
func TestDeployList(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(text)
	if list == nil {
		t.Fatal("no list of policy files in deploy/balancer.toml")
	}
	var listed []string
	for _, match := range regexp.MustCompile(`"(.*?)"`).FindAllSubmatch(list[1], -1) {
		file := string(match[1])
		listed = append(listed, file)
		if _, err := os.Stat(filepath.Join("..", file)); err != nil {
			t.Errorf("listed file: %v", err)
		}
	}
	rules, err := filepath.Glob("testdata/*")
	if err != nil || len(rules) == 0 {
		t.Fatal("no directories of golden traces: ", err)
	}
	for _, rule := range rules {
		file := "policy/" + filepath.Base(rule) + ".go"
		if !slices.Contains(listed, file) {
			t.Errorf("%s is not listed; listed are %s", file, strings.Join(listed, " "))
		}
	}
}
