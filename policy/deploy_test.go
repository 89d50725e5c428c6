package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDeployList checks the list of files that decide in deploy/balancer.toml: each exists, and each rule's file is named.
func TestDeployList(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindSubmatch(text)
	if list == nil {
		t.Fatal("no list of policy files")
	}
	var listed []string
	for _, match := range regexp.MustCompile(`"(.*?)"`).FindAllSubmatch(list[1], -1) {
		file := string(match[1])
		listed = append(listed, file)
		if _, err := os.Stat(filepath.Join("..", file)); err != nil {
			t.Errorf("listed: %v", err)
		}
	}
	rules, err := filepath.Glob("testdata/*")
	if err != nil || len(rules) == 0 {
		t.Fatal("no rules: ", err)
	}
	for _, rule := range rules {
		file := "policy/" + filepath.Base(rule) + ".go"
		if !slices.Contains(listed, file) {
			t.Errorf("%s is not among %s", file, strings.Join(listed, " "))
		}
	}
}
