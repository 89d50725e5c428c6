// Package site reads the operator's own file: the subsystems beyond what the platform configures. Each is a table and is off unless its table is
// there; without the file a node has none of them.
//
//   - site.go: the file
//   - cluster.go: the table fleet, gossip with other nodes
//   - durable.go: the table durable, durable batch jobs
package site

import (
	"os"

	"birchstair/internal/tomlfile"
)

// Config is the operator's file; a table that is not there is nil.
type Config struct {
	Durable *Durable `toml:"durable"`
	Cluster *Cluster `toml:"fleet"`
}

// Read reads the file of that name and checks it. An empty name is an empty file.
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

// Parse reads a file's text and checks it. Its errors say file, line and key.
func Parse(name string, text []byte) (Config, error) {
	// First which tables there are, then each over its defaults.
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

// validate checks the tables that are there; its error is a tomlfile.KeyError.
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
