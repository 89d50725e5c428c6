package site

import (
	"errors"
	"fmt"
	"time"

	"birchstair/internal/tomlfile"
)

// Durable turns durable batch jobs on.
type Durable struct {
	Dir            string            `toml:"dir"`         // where the records are; one node's alone; required
	MaxDeadline    tomlfile.Duration `toml:"outer-limit"` // the longest deadline that a client may ask for; default 24h
	Retention      tomlfile.Duration `toml:"keep"`        // how long a final answer can be asked for; default 24h
	SegmentSize    tomlfile.ByteSize `toml:"segment"`     // of the log; default 1MiB
	MaxSize        tomlfile.ByteSize `toml:"most"`        // of the whole log, which is in memory as well; over it new jobs are rejected; default 16MiB
	MaxConcurrent  int               `toml:"in-hand"`     // jobs handed to the policy at a time; the others wait on the disk; default 256
	ExecutorLeases bool              `toml:"leases"`      // executors can be polled for what they run and have finished; default false
	PollInterval   tomlfile.Duration `toml:"ask-every"`   // between polls while an executor can't be reached, or still runs the job; default 2s
}

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

// Bounds of the values for durable jobs.
const (
	memoryDivisor   = 8 // one part of so many of the memory the log may take: a small job takes 1 KB there, and 0.3 KB on the disk
	minSegmentSize  = 64 << 10
	minSegments     = 4 // that fit the log, so that compaction finds room
	minPollInterval = 50 * time.Millisecond
	minRetention    = time.Second
	maxRetention    = 400 * 24 * time.Hour
)

// FitsMemory is the error where the file does not fit the node's memory, in bytes.
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
		return durableKey("dir", errors.New("missing: where the records are to stand, on a disk that lasts"))
	case !d.MaxDeadline.Within(minRetention, maxRetention):
		return durableKey("outer-limit", fmt.Errorf("%v is not from 1s to %v", time.Duration(d.MaxDeadline), maxRetention))
	case !d.Retention.Within(minRetention, maxRetention):
		return durableKey("keep", fmt.Errorf("%v is not from 1s to %v", time.Duration(d.Retention), maxRetention))
	case d.SegmentSize < minSegmentSize:
		return durableKey("segment", fmt.Errorf("under %d KiB", minSegmentSize>>10))
	case d.MaxSize < minSegments*d.SegmentSize:
		return durableKey("most", errors.New("under four segments: cleaning would find no room"))
	case d.MaxConcurrent < 1:
		return durableKey("in-hand", errors.New("under 1"))
	case time.Duration(d.PollInterval) < minPollInterval:
		return durableKey("ask-every", fmt.Errorf("under %v", minPollInterval))
	}
	return nil
}

// durableKey is an error in the value of a key of the table.
func durableKey(key string, err error) error {
	return &tomlfile.KeyError{Place: tomlfile.Position{Table: "durable", Index: tomlfile.NoIndex, Key: key}, Err: err}
}
