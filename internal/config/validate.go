package config

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Bounds of configuration values.
const (
	minMemoryMiB      = 32
	minDescriptors    = 64
	maxProbeTimeout   = 10 * time.Second
	maxSeconds        = 366 * 24 * 3600.0 // 366 days in seconds, which fits a time.Duration
	maxQuotaPerSecond = 1e9               // higher than the quota of any installation
)

// validate returns an error that names the first invalid key of the configuration, or nil.
func (c *Config) validate() error {
	if c.Name == "" {
		return errors.New("name: missing")
	}
	if err := c.validateAddrs(); err != nil {
		return err
	}
	switch {
	case c.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not over 0", c.Cores)
	case c.MemoryBytes < minMemoryMiB<<20:
		return fmt.Errorf("limits.memory_mb: %d is under %d", c.MemoryBytes>>20, minMemoryMiB)
	case c.MaxDescriptors < minDescriptors:
		return fmt.Errorf("limits.sockets: %d is under %d", c.MaxDescriptors, minDescriptors)
	}
	if err := c.validateProbe(); err != nil {
		return err
	}
	names := map[string]bool{}
	for i, name := range c.Settings.JobClassNames {
		if name == "" || names[name] {
			return fmt.Errorf("settings.tracks[%d].name: %q is empty or duplicate", i, name)
		}
		names[name] = true
	}
	return nil
}

func (c *Config) validateAddrs() error {
	for _, field := range [...]struct {
		key, addr string
		optional  bool
	}{
		{"listen", c.Listen, false},
		{"discovery", c.Discovery, false},
		{"management", c.AdminAddr, true},
	} {
		if field.addr == "" {
			if field.optional {
				continue
			}
			return fmt.Errorf("%s: missing", field.key)
		}
		if addr, err := netip.ParseAddrPort(field.addr); err != nil || addr.Port() == 0 {
			return fmt.Errorf("%s: %q is not an address and port", field.key, field.addr)
		}
	}
	return nil
}

func (c *Config) validateProbe() error {
	probe := c.Settings.Probe
	switch {
	case probe.Path != "" && (probe.Path[0] != '/' || strings.ContainsAny(probe.Path, " \t\r\n")):
		return fmt.Errorf("probe.path: %.40q does not begin with /, or contains white space", probe.Path)
	case probe.Timeout <= 0 || probe.Timeout > maxProbeTimeout:
		return fmt.Errorf("probe.timeout_s: must be over 0 and at most %g", maxProbeTimeout.Seconds())
	case probe.Path != "" && !c.Settings.Policy.MayCheckHealth:
		return errors.New("probe.path: set, but settings.caps.probes is not true or settings.report.how is not on_probe")
	}
	return nil
}

// reportModes are the valid values of report.how. The empty value stands for an absent key.
var reportModes = []string{"", reportInline, reportOnProbe, reportOff}

// validate returns an error that names the first invalid key of the settings, or nil. It does not check the values of
// tenants and job classes, which have validate methods of their own. The error texts of this method, of validateSeconds
// and of the two validate methods below are also sent to the simulator, so they must not change.
func (w *settingsJSON) validate() error {
	caps, rules := &w.Caps, &w.Rules
	for _, check := range [...]struct {
		invalid bool
		key     string
		reason  string
	}{
		{w.Nodes < 1, "balancers", "fewer than one node"},
		{w.Node < 0 || w.Node >= w.Nodes, "my-number", "not one of the nodes, which count from 0"},
		{w.Zone < 0 || len(w.Zones) > 0 && w.Zone >= len(w.Zones), "locality", "not one of areas"},
		{w.Quantum < 0, "quantum-s", "under 0"},
		{caps.MaxAttempts < 1, "caps.max-allocations", "missing, or under 1"},
		{caps.MaxRetryAfter < 0, "caps.max-retry-after-s", "under 0"},
		{caps.IdleTimeout < 0, "caps.conn-idle-s", "under 0"},
		{caps.DialTimeout < 0, "caps.dial-timeout-s", "under 0"},
		{rules.SlowStartCapacity < 0 || rules.SlowStartCapacity > 1, "rules.cold-share", "not between 0 and 1"},
		{rules.SlowStartDuration < 0, "rules.warm-within-s", "under 0"},
		{rules.OverloadMultiple < 0, "rules.fall-multiple", "under 0"},
		{rules.OverloadWindow < 0, "rules.fall-s", "under 0"},
		{rules.DrainGrace < 0, "rules.drain-grace-s", "under 0"},
		{w.Domain.ProgressInterval < 0, "domain.progress-s", "under 0"},
		{len(w.JobClasses) == 0, "tracks", "missing, or empty"},
		{!slices.Contains(reportModes, w.Report.How), "report.how", "none of inline, on_probe and off"},
	} {
		if check.invalid {
			return fmt.Errorf("settings.%s: %s", check.key, check.reason)
		}
	}
	return w.validateSeconds()
}

// validateSeconds refuses times over maxSeconds, because very large ones would overflow a time.Duration.
func (w *settingsJSON) validateSeconds() error {
	for _, field := range [...]struct {
		key     string
		seconds float64
	}{
		{"quantum-s", w.Quantum},
		{"caps.max-retry-after-s", w.Caps.MaxRetryAfter},
		{"caps.conn-idle-s", w.Caps.IdleTimeout},
		{"caps.dial-timeout-s", w.Caps.DialTimeout},
		{"rules.ask-within-s", w.Rules.PollWithin},
		{"rules.warm-within-s", w.Rules.SlowStartDuration},
		{"rules.fall-s", w.Rules.OverloadWindow},
		{"rules.drain-grace-s", w.Rules.DrainGrace},
		{"domain.progress-s", w.Domain.ProgressInterval},
	} {
		if field.seconds > maxSeconds {
			return fmt.Errorf("settings.%s: over %g s", field.key, maxSeconds)
		}
	}
	return nil
}

// validate checks the tenant with the given index. A negative quota is invalid: rates are divided by the quota, so sums
// of the results would have the wrong sign.
func (t tenantJSON) validate(index int) error {
	if !(t.QuotaPerSecond >= 0 && t.QuotaPerSecond <= maxQuotaPerSecond) { // the negated condition also refuses NaN
		return fmt.Errorf("settings.projects[%d].quota-per-s: not between 0 and %g", index, maxQuotaPerSecond)
	}
	return nil
}

// validate checks the job class with the given index.
func (c *jobClassJSON) validate(index int) error {
	if _, ok := idempotencies[c.Idempotency]; !ok {
		return fmt.Errorf("settings.tracks[%d].repeat: %.40q is none of the kinds", index, c.Idempotency)
	}
	if _, ok := dedupGroups[c.DedupGroup]; !ok {
		return fmt.Errorf("settings.tracks[%d].dedup-scope: %.40q is none of the groups", index, c.DedupGroup)
	}
	switch {
	case c.LatencyObjective <= 0:
		return fmt.Errorf("settings.tracks[%d].quoted-time-s: missing, or not over 0", index)
	case c.Deadline <= 0:
		return fmt.Errorf("settings.tracks[%d].outer-limit-s: missing, or not over 0", index)
	case max(c.LatencyObjective, c.Deadline, c.DedupWindow) > maxSeconds:
		return fmt.Errorf("settings.tracks[%d]: a time over %g s", index, maxSeconds)
	}
	return nil
}
