package config

import (
	"encoding/json"
	"time"

	"birchstair/policy"
)

// Settings is the settings object of a node's configuration and of the simulator's first message. The comment of
// each field names its key in the object.
type Settings struct {
	Policy policy.Settings // settings that package policy uses

	LoadFields    LoadFields // positions of the values in load reports: report.fields
	Probe         Probe      // how health checks are sent: the key probe of the configuration, not of the settings
	MayGossip     bool       // whether the settings permit gossip between nodes: caps.peers; default false
	JobClassNames []string   // names of the job classes, by index: tracks[].name
	Zones         []string   // names of the zones, by index: areas
	Kinds         []string   // names of the executor kinds, by index: flavors

	IdleTimeout time.Duration // time after which an executor closes an idle connection: caps.conn-idle-s; default 60 s
	DialTimeout time.Duration // time within which a connection must be established: caps.dial-timeout-s; default 100 ms
	DrainGrace  time.Duration // time after a drain notification in which the executor can still get new jobs: rules.drain-grace-s; default 1 s
}

// Values of settings that are absent.
const (
	defaultIdleTimeout = 60 * time.Second
	defaultDialTimeout = 100 * time.Millisecond
	defaultDrainGrace  = time.Second
	minQuantum         = time.Millisecond // minimum and default of Policy.Quantum
)

// Probe configures health checks, which ask executors for their load.
type Probe struct {
	Path    string        // path of the request: probe.path; empty if there are no health checks
	Timeout time.Duration // timeout of one health check: probe.timeout_s; default 250 ms
}

// ReadSettings decodes and validates the settings object.
func ReadSettings(text []byte) (Settings, error) {
	var wire settingsJSON
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, decodeError("settings", err)
	}
	if err := wire.validate(); err != nil {
		return Settings{}, err
	}
	return wire.settings()
}
