package emulator

import (
	"birchstair/policy"
)

// MessageKind is the kind of a message about an attempt.
type MessageKind int

// The kinds of messages about an attempt.
const (
	AttemptStarted  MessageKind = iota // it has started
	AttemptProgress                    // it runs, and a fraction of its work is done
	AttemptDone                        // it has finished, with a result
	AttemptFailed                      // it has failed; it may have had its effect
	AttemptRejected                    // it was rejected and never ran
)

// Load is a load report.
type Load struct {
	InFlight, Queued, FreeSlots float64 // batch jobs in flight, batch jobs waiting, free slots
	Known                       bool    // false if there is no report
}

// Output is something that an executor does, for the caller to carry out. It is one of the types below.
type Output interface{ out() }

type (
	// Message is a message about an attempt on a connection.
	Message struct {
		Conn     ConnID
		Job      policy.JobID
		Kind     MessageKind
		Progress float64 // fraction of the work that is done; used for AttemptProgress only
		Load     Load
	}
	// EffectStarted says that the effect of an attempt has begun.
	EffectStarted struct{ Attempt }
	// AttemptArrived says that an attempt has arrived.
	AttemptArrived struct {
		Attempt
		Capacity float64 // capacity of the executor when the attempt arrived
	}
	// ConnReset says that the executor resets a connection.
	ConnReset struct{ Conn ConnID }
	// Crashed says that the executor has crashed from overload in its slow start.
	Crashed struct{}
)

func (Message) out() {}

func (EffectStarted) out() {}

func (AttemptArrived) out() {}

func (ConnReset) out() {}

func (Crashed) out() {}
