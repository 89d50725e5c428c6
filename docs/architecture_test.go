// Package docs holds the project's pages; its tests check that they are true of the code.
package docs

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestArchitectureNamesAllPackages checks that the page names each package of the module, and none that is not there.
func TestArchitectureNamesAllPackages(t *testing.T) {
	page, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	var named []string
	for _, match := range regexp.MustCompile("`((?:cmd|internal|lab)/[a-z/-]+|policy|docs)`").FindAllStringSubmatch(string(page), -1) {
		named = append(named, match[1])
	}
	out, err := exec.Command("go", "list", "birchstair/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	var packages []string
	for line := range strings.Lines(string(out)) {
		packages = append(packages, strings.TrimPrefix(strings.TrimSpace(line), "birchstair/"))
	}
	for _, p := range packages {
		if !slices.Contains(named, p) {
			t.Errorf("ARCHITECTURE.md does not name package %s", p)
		}
	}
	for _, n := range named {
		if !slices.Contains(packages, n) {
			t.Errorf("ARCHITECTURE.md names %s, which is no package", n)
		}
	}
}
