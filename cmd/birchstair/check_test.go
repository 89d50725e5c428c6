package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

// TestConfigCheck pins the output of config check, and of ops when it has no node to call.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	const (
		settings = `"settings":{"balancers":3,"areas":["z"],"flavors":["plain"],"caps":{"max-allocations":3%s},"domain":{"tells-start":true}%s,` +
			`"tracks":[{"name":"page","quoted-time-s":1,"outer-limit-s":2,"repeat":"repeatable","earnings":1}]}`
		address = `"name":"n0","listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500"`
	)
	plain := write("plain", "{"+address+","+fmt.Sprintf(settings, "", "")+"}")
	hedging := write("hedging", "{"+address+`,"management":"127.0.0.1:8082","limits":{"memory_mb":128,"sockets":256},"probe":{"path":"/load","timeout_s":0.5},`+
		`"clients":{"marks-retry":true},`+fmt.Sprintf(settings, `,"second-copies":true,"probes":true`, `,"report":{"how":"on_probe","fields":["active"]}`)+"}")
	keyed := strings.Replace(fmt.Sprintf(settings, "", ""), `"repeat":"repeatable"`, `"repeat":"by_key","dedup-scope":"all","dedup-window-s":0.2`, 1)
	shortWindow := write("short-window", "{"+address+","+keyed+"}")
	incomplete := write("incomplete", "{"+address+"}")
	durable := write("durable.toml", "[durable]\ndir = \"store\"\nouter-limit = \"2m\"\nkeep = \"10m\"\n")
	broken := write("broken.toml", "[durable]\nnothing = 1\n")
	var out strings.Builder
	run := func(config string, args ...string) {
		cmd := exec.Command(program(t), args...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH")}
		if config != "" {
			cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+config)
		}
		text, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		printed := fmt.Sprintf("$ ROUTER_CONFIG=%s birchstair %s\n%sstatus %d\n", config, strings.Join(args, " "), text, cmd.ProcessState.ExitCode())
		out.WriteString(strings.ReplaceAll(printed, dir, "DIR"))
	}
	run(plain, "config", "check")
	run(hedging, "config", "check")
	run(hedging, "config", "check", "--site", durable)
	run(plain, "config", "check", "--site", broken)
	run(shortWindow, "config", "check")
	run(incomplete, "config", "check")
	run("", "config", "check")
	run("", "ops", "check")
	run(plain, "ops", "vars")
	run(plain, "ops", "set-down", "a b", "--at", "127.0.0.1:1")
	golden.Compare(t, "check.txt", out.String())
}
