package leases

import (
	"time"

	"birchstair/policy"
)

// Effect is something that a Book asks its caller to do. It is one of the types below.
type Effect interface{ effect() }

// Effects on the disk.
type (
	// KeepJob writes a job's record. Kept or NotKept reports the result.
	KeepJob struct{ ID ID }
	// KeepSend writes the record of an attempt. SendKept reports it.
	KeepSend struct {
		ID   ID
		Send Send
	}
	// KeepOver writes that an attempt is over and never ran.
	KeepOver struct {
		ID    ID
		Epoch Epoch
	}
	// KeepFinal writes a final answer. FinalKept reports it.
	KeepFinal struct {
		ID     ID
		Final  Final
		Result []byte
	}
	// KeepLetGo writes that a job is forgotten.
	KeepLetGo struct{ ID ID }
)

// Effects on clients, the policy and executors.
type (
	// Acknowledge tells the client that the job is on disk.
	Acknowledge struct{ ID ID }
	// Arrive gives the job to the policy, which has the budget to get it done.
	Arrive struct {
		ID     ID
		Budget time.Duration
	}
	// LetOut sends an attempt whose record is on disk.
	LetOut struct {
		ID    ID
		Epoch Epoch
	}
	// Ask asks an executor what became of an epoch. Told reports the answer.
	Ask struct {
		ID       ID
		Epoch    Epoch
		Executor policy.ExecutorID
	}
	// Publish gives the final answer to all clients that wait for it.
	Publish struct {
		ID     ID
		Final  Final
		Result []byte
	}
)

// Wake asks for a call of Book.Wake at a time. A later Wake replaces it.
type Wake struct{ At time.Duration }

func (KeepJob) effect()     {}
func (KeepSend) effect()    {}
func (KeepOver) effect()    {}
func (KeepFinal) effect()   {}
func (KeepLetGo) effect()   {}
func (Acknowledge) effect() {}
func (Arrive) effect()      {}
func (LetOut) effect()      {}
func (Ask) effect()         {}
func (Publish) effect()     {}
func (Wake) effect()        {}
