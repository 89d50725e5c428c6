// Package site reads the operator's site file, which enables subsystems that the platform's configuration does not
// cover. Each subsystem has a table in the file, and is off if the table is absent. Without a site file, all of them
// are off.
//
//   - site.go: the whole file
//   - cluster.go: the table fleet, which enables gossip with other nodes
//   - durable.go: the table durable, which enables durable batch jobs
package site

import (
	"os"

	"birchstair/internal/tomlfile"
)

// Config is the content of a site file. A table that is absent is nil.
type Config struct {
	Durable *Durable `toml:"durable"`
	Cluster *Cluster `toml:"fleet"`
}

// Read reads and validates the file with the given name. An empty name yields the Config of an empty file.
func Read(name string) (Config, error) {
	if name == "" {
		return Config{}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return Config{}, err
	}
	return Parse(name, text)
}

// Parse decodes and validates the text of a site file. Its errors name the file, the line and the key.
func Parse(name string, text []byte) (Config, error) {
	// The first decoding finds out which tables are present; the second decodes them over their defaults.
	var c Config
	if err := tomlfile.Decode(name, text, &c); err != nil {
		return Config{}, err
	}
	if c.Durable != nil {
		c.Durable = durableDefaults()
	}
	if c.Cluster != nil {
		c.Cluster = clusterDefaults()
	}
	if err := tomlfile.Decode(name, text, &c); err != nil {
		return Config{}, err
	}
	if err := c.validate(); err != nil {
		return Config{}, tomlfile.Locate(name, text, err)
	}
	return c, nil
}

// validate checks the tables that are present. Its error is a tomlfile.KeyError.
func (c *Config) validate() error {
	if c.Cluster != nil {
		if err := c.Cluster.validate(); err != nil {
			return err
		}
	}
	if c.Durable != nil {
		return c.Durable.validate()
	}
	return nil
}
