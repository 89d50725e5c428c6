package site

import (
	"errors"
	"fmt"
	"time"

	"birchstair/internal/tomlfile"
)

// Durable enables durable batch jobs, which survive a restart of the node.
type Durable struct {
	Dir            string            `toml:"dir"`         // directory of the job log; no other node may use it; required
	MaxDeadline    tomlfile.Duration `toml:"outer-limit"` // longest deadline that a client can request; default 24h
	Retention      tomlfile.Duration `toml:"keep"`        // how long a final answer can be retrieved; default 24h
	SegmentSize    tomlfile.ByteSize `toml:"segment"`     // size of a segment of the log; default 1MiB
	MaxSize        tomlfile.ByteSize `toml:"most"`        // size of the log above which new jobs are rejected; the log is also held in memory; default 16MiB
	MaxConcurrent  int               `toml:"in-hand"`     // maximum number of jobs that the policy has at a time; further jobs wait on disk; default 256
	ExecutorLeases bool              `toml:"leases"`      // whether executors can be polled for the jobs that they run and have finished; default false
	PollInterval   tomlfile.Duration `toml:"ask-every"`   // time between polls while an executor is unreachable or still runs the job; default 2s
}

// durableDefaults returns the table durable with the values of keys that are absent from the site file.
func durableDefaults() *Durable {
	return &Durable{
		MaxDeadline:   tomlfile.Duration(24 * time.Hour),
		Retention:     tomlfile.Duration(24 * time.Hour),
		SegmentSize:   1 << 20,
		MaxSize:       16 << 20,
		MaxConcurrent: 256,
		PollInterval:  tomlfile.Duration(2 * time.Second),
	}
}

// Bounds of the values in the table durable.
const (
	memoryDivisor   = 8 // MaxSize is at most the node's memory divided by this: a small job takes 1 KB in memory, 0.3 KB on disk
	minSegmentSize  = 64 << 10
	minSegments     = 4 // MaxSize is at least SegmentSize multiplied by this, so that compaction has space to work in
	minPollInterval = 50 * time.Millisecond
	minRetention    = time.Second
	maxRetention    = 400 * 24 * time.Hour
)

// FitsMemory returns an error if the maximum size of the log is too large for the node's memory, which is given in
// bytes.
func (c Config) FitsMemory(memory int64) error {
	if d := c.Durable; d != nil && int64(d.MaxSize) > memory/memoryDivisor {
		return fmt.Errorf("durable.most: %d MiB is over an eighth of limits.memory_mb, %d: "+
			"what the log holds stands in memory as well, up to four times as large", d.MaxSize>>20, memory>>20)
	}
	return nil
}

func (d *Durable) validate() error {
	switch {
	case d.Dir == "":
		return durableKeyError("dir", errors.New("missing: the directory of the job log, on a persistent disk"))
	case !d.MaxDeadline.Within(minRetention, maxRetention):
		return durableKeyError("outer-limit", fmt.Errorf("%v is not from 1s to %v", time.Duration(d.MaxDeadline), maxRetention))
	case !d.Retention.Within(minRetention, maxRetention):
		return durableKeyError("keep", fmt.Errorf("%v is not from 1s to %v", time.Duration(d.Retention), maxRetention))
	case d.SegmentSize < minSegmentSize:
		return durableKeyError("segment", fmt.Errorf("%d bytes is under %d KiB", d.SegmentSize, minSegmentSize>>10))
	case d.MaxSize < minSegments*d.SegmentSize:
		return durableKeyError("most", fmt.Errorf("%d bytes is under four segments of %d bytes: compaction would have no space to work in", d.MaxSize, d.SegmentSize))
	case d.MaxConcurrent < 1:
		return durableKeyError("in-hand", fmt.Errorf("%d is under 1", d.MaxConcurrent))
	case time.Duration(d.PollInterval) < minPollInterval:
		return durableKeyError("ask-every", fmt.Errorf("%v is under %v", time.Duration(d.PollInterval), minPollInterval))
	}
	return nil
}

// durableKeyError returns an error in the value of a key in the table durable.
func durableKeyError(key string, err error) error {
	return &tomlfile.KeyError{Position: tomlfile.Position{Table: "durable", Index: tomlfile.NoIndex, Key: key}, Err: err}
}
