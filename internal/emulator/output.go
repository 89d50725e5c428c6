package emulator

import (
	"birchstair/policy"
)

// Word is the kind of a message about an attempt.
type Word int

// The kinds of messages about an attempt.
const (
	Began    Word = iota // it has started
	Progress             // a share of it is done
	Done                 // it has finished, with a result
	Errored              // it has failed; it may have had its effect
	NoRoom               // it was rejected and never ran
)

// Load is a load report.
type Load struct {
	Held, Waiting, Free float64 // batch jobs in flight, batch jobs waiting, free slots
	Known               bool    // there is a report
}

// Out is an output of an executor: one of the types below.
type Out interface{ out() }

type (
	// Say is a message about an attempt on a connection.
	Say struct {
		Conn  ConnID
		Job   policy.JobID
		Word  Word
		Share float64 // done; of progress messages alone
		Load  Load
	}
	// Ran says that an effect has begun.
	Ran struct{ Allocation }
	// Reached says that an attempt has arrived, and what the capacity is then.
	Reached struct {
		Allocation
		Capacity float64
	}
	// Reset says that the executor resets the connection.
	Reset struct{ Conn ConnID }
	// Fell says that the executor has crashed from overload in its slow start.
	Fell struct{}
)

func (Say) out() {}

func (Ran) out() {}

func (Reached) out() {}

func (Reset) out() {}

func (Fell) out() {}
