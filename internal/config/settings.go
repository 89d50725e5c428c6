package config

import (
	"encoding/json"
	"time"

	"birchstair/policy"
)

// Settings is the settings object, in a node's configuration and in the simulator's first message. Each field's key in the object is named with it.
type Settings struct {
	Policy policy.Settings // for the policy

	LoadFields    LoadFields // where values stand in load reports: report.fields
	Probe         Probe      // the configuration's probe; not among the settings
	MayGossip     bool       // whether nodes may send each other messages: caps.peers; default false
	JobClassNames []string   // names of the job classes, by number: tracks[].name
	Zones         []string   // names, by number: areas
	Kinds         []string   // names of executor kinds, by number: flavors

	IdleTimeout time.Duration // after which an executor closes an idle connection: caps.conn-idle-s; default 60 s
	DialTimeout time.Duration // after which a connection that is not up has failed: caps.dial-timeout-s; default 100 ms
	DrainGrace  time.Duration // from a drain's notice until nothing new goes to the executor: rules.drain-grace-s; default 1 s
}

// Defaults of the settings.
const (
	defaultIdleTimeout = 60 * time.Second
	defaultDialTimeout = 100 * time.Millisecond
	defaultDrainGrace  = time.Second
	minQuantum         = time.Millisecond // also the default
)

// Probe is how executors are asked for their load.
type Probe struct {
	Path    string        // of the request: probe.path; empty for no probes
	Timeout time.Duration // of one probe: probe.timeout_s; default 250 ms
}

// ReadSettings decodes the settings object and checks it.
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
