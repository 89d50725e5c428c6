package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// MissingKey returns an error if the other configuration lacks a key that this one has, and nil otherwise. A reloaded
// configuration must be as complete as the one before: a key that has disappeared is an error, even if it has a
// default.
func (c *Config) MissingKey(other *Config) error {
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		if !other.keys[key] {
			return fmt.Errorf("%s: missing, but set in the configuration before the reload", key)
		}
	}
	return nil
}

// keysOf returns the keys of a configuration file, including those of nested objects.
func keysOf(text []byte) (map[string]bool, error) {
	var object any
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, decodeError("configuration", err)
	}
	keys := map[string]bool{}
	collectKeys("", object, keys)
	return keys, nil
}

// collectKeys adds the keys of an object to the set keys. Each key gets the prefix, which is the path of the object and
// a separator. For a list of objects, collectKeys adds the keys that all the objects have.
func collectKeys(prefix string, value any, keys map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			if prefix+key == "known" || prefix == "settings.tracks[]." && !jobClassKeys[key] {
				continue
			}
			keys[prefix+key] = true
			collectKeys(prefix+key+".", inner, keys)
		}
	case []any:
		maps.Copy(keys, commonKeys(strings.TrimSuffix(prefix, ".")+"[].", value))
	}
}

// commonKeys returns the keys that all objects of a list have.
func commonKeys(prefix string, list []any) map[string]bool {
	var common map[string]bool
	for _, element := range list {
		keys := map[string]bool{}
		collectKeys(prefix, element, keys)
		if common == nil {
			common = keys
		}
		maps.DeleteFunc(common, func(key string, _ bool) bool { return !keys[key] })
	}
	return common
}

// jobClassKeys are the keys that every job class has. Other keys depend on the
// idempotency of the class, so a reload is allowed to remove them.
var jobClassKeys = map[string]bool{"name": true, "quoted-time-s": true, "outer-limit-s": true, "repeat": true, "earnings": true}

// RestartKeys returns the keys whose values differ between the two configurations and take effect only at the next
// start. It leaves out the job classes and the discovery address, because changes to them take effect at once. It also
// leaves out the seed, which is new at each start, and the cached endpoint list (key known), which discovery replaces.
func (c *Config) RestartKeys(other Config) (keys []string) {
	other.Settings.Policy.Seed = c.Settings.Policy.Seed
	other.Settings.JobClassNames = c.Settings.JobClassNames
	other.Settings.Policy.JobClasses = c.Settings.Policy.JobClasses
	other.Settings.Policy.MaxAttempts = c.Settings.Policy.MaxAttempts
	probe := other.Settings.Probe
	other.Settings.Probe = c.Settings.Probe
	for _, part := range [...]struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"management", c.AdminAddr == other.AdminAddr},
		{"limits.cores", c.Cores == other.Cores},
		{"limits.memory_mb", c.MemoryBytes == other.MemoryBytes},
		{"limits.sockets", c.MaxDescriptors == other.MaxDescriptors},
		{"probe", c.Settings.Probe == probe},
		{"settings", reflect.DeepEqual(c.Settings, other.Settings)},
	} {
		if !part.same {
			keys = append(keys, part.key)
		}
	}
	return keys
}
