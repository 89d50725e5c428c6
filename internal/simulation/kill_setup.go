package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/policy"
)

const (
	killExecutors  = 3   // number of emulated executors
	maxRunTimeMS   = 120 // upper limit of the run time of a job, in milliseconds; run times are uniformly distributed below it
	killAtMostOnce = "once"
	durablePrefix  = "durable-" // prefix that a node adds to the IDs of durable jobs at executors, as it does a suffix that begins with "-"
)

// killClasses are the job classes of a run. repeat is the idempotency of the class, under its name in the node's
// configuration.
var killClasses = [2]struct{ name, repeat string }{{"page", "repeatable"}, {"order", killAtMostOnce}}

// siteFormat is the format string of the node's operator file. The string has two arguments: the directory of the
// store, and whether executors answer lease queries.
const siteFormat = `[durable]
dir = %q
outer-limit = "2m"
keep = "10m"
segment = "64KiB"
most = "4MiB"
ask-every = "100ms"
leases = %v
`

// killConfig is the node's configuration. It has only the fields that a run sets.
type killConfig struct {
	Name      string       `json:"name"`
	Listen    string       `json:"listen"`
	Discovery string       `json:"discovery"`
	Settings  killSettings `json:"settings"`
}

type killSettings struct {
	Balancers int         `json:"balancers"`
	Quantum   float64     `json:"quantum-s"`
	Areas     []string    `json:"areas"`
	Flavors   []string    `json:"flavors"`
	Caps      killCaps    `json:"caps"`
	Domain    killDomain  `json:"domain"`
	Classes   []killClass `json:"tracks"`
}

type killCaps struct {
	MaxAttempts int  `json:"max-allocations"`
	Cancel      bool `json:"cancel"`
}

type killDomain struct {
	StartNotices bool `json:"tells-start"`
}

type killClass struct {
	Name      string  `json:"name"`
	Objective float64 `json:"quoted-time-s"`
	Deadline  float64 `json:"outer-limit-s"`
	Repeat    string  `json:"repeat"`
	Value     float64 `json:"earnings"`
}

// setUp starts the emulated executors and discovery, and writes the node's files. closeAll closes all listeners. The
// caller must call it even if setUp returns an error.
func (r *killRun) setUp() (closeAll func(), err error) {
	var open []net.Listener
	closeAll = func() {
		for _, listener := range open {
			listener.Close()
		}
	}
	listen := func() (net.Listener, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			open = append(open, listener)
		}
		return listener, err
	}
	var entries []emulator.Entry
	for i := range killExecutors {
		listener, err := listen()
		if err != nil {
			return closeAll, err
		}
		id := policy.ExecutorID(fmt.Sprint("e", i))
		endpoint := policy.Endpoint{Executor: id, Weight: 1, StartedLongAgo: true}
		entries = append(entries, emulator.Entry{Addr: listener.Addr().String(), Endpoint: endpoint})
		go r.newExecutor(id).Serve(listener)
	}
	discovery, err := listen()
	if err != nil {
		return closeAll, err
	}
	if r.listen, err = platform.FreeAddress(); err != nil {
		return closeAll, err
	}
	go (&platform.Discovery{Entries: entries, Zones: []string{"z"}}).Serve(discovery)
	return closeAll, r.writeFiles(discovery.Addr().String())
}

// newExecutor returns an emulated executor that counts how often each job runs.
func (r *killRun) newExecutor(id policy.ExecutorID) *platform.Executor {
	return &platform.Executor{
		ID:      id,
		Leases:  r.Leases,
		RunTime: func() time.Duration { return time.Duration(r.randomN(maxRunTimeMS)) * time.Millisecond },
		OnEffect: func(job policy.JobID) {
			r.mu.Lock()
			defer r.mu.Unlock()
			id := strings.TrimPrefix(string(job), durablePrefix)
			r.runsOfJob[id[:max(0, strings.LastIndex(id, "-"))]]++
		},
	}
}

// writeFiles writes the node's configuration and the operator's file.
func (r *killRun) writeFiles(discovery string) error {
	r.config, r.site = filepath.Join(r.Dir, "config.json"), filepath.Join(r.Dir, "site.toml")
	config := killConfig{Name: "n0", Listen: r.listen, Discovery: discovery, Settings: killSettings{
		Balancers: 1,
		Quantum:   quantum.Seconds(),
		Areas:     []string{"z"},
		Flavors:   []string{"plain"},
		Caps:      killCaps{MaxAttempts: 3, Cancel: true},
		Domain:    killDomain{StartNotices: true},
	}}
	for _, class := range killClasses {
		config.Settings.Classes = append(config.Settings.Classes,
			killClass{Name: class.name, Objective: 0.3, Deadline: 5, Repeat: class.repeat, Value: 1})
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	site := fmt.Sprintf(siteFormat, filepath.Join(r.Dir, "store"), r.Leases)
	return errors.Join(os.WriteFile(r.config, text, 0o600), os.WriteFile(r.site, []byte(site), 0o600))
}
