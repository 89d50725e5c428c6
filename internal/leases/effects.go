package leases

import (
	"time"

	"birchstair/policy"
)

// Effect is an action that a JobTable asks its caller to carry out. It is one of the types below.
type Effect interface{ effect() }

// Effects on the records on disk.
type (
	// StoreJob writes a job's record. JobStored or JobNotStored reports the result.
	StoreJob struct{ ID ID }
	// StoreAttempt writes the record of an attempt. AttemptStored reports that it is on disk.
	StoreAttempt struct {
		ID      ID
		Attempt Attempt
	}
	// StoreNeverRan records that an attempt has ended without running.
	StoreNeverRan struct {
		ID    ID
		Epoch Epoch
	}
	// StoreFinal writes a final answer. FinalStored reports that it is on disk.
	StoreFinal struct {
		ID     ID
		Final  Outcome
		Result []byte
	}
	// StoreForget records that a job is forgotten.
	StoreForget struct{ ID ID }
)

// Effects on clients, the policy and executors.
type (
	// Acknowledge confirms to the client that the job is on disk.
	Acknowledge struct{ ID ID }
	// Submit gives a job to the policy, which must answer the job by the given time.
	Submit struct {
		ID    ID
		Lease LeaseID
		Class policy.JobClassID
		Until time.Duration
	}
	// Withdraw takes a job back from the policy, which starts no more attempts and gives no answer.
	Withdraw struct {
		ID    ID
		Lease LeaseID
	}
	// SendAttempt sends an attempt to its executor. It follows only after the record of the attempt is on disk.
	SendAttempt struct {
		ID    ID
		Epoch Epoch
	}
	// DropAttempt ends an attempt that must not be sent any more, because writing its record took too long.
	DropAttempt struct {
		ID    ID
		Epoch Epoch
	}
	// QueryAttempt asks an executor for the state of an attempt. AttemptQueried reports the answer.
	QueryAttempt struct {
		ID       ID
		Lease    LeaseID
		Epoch    Epoch
		Executor policy.ExecutorID
	}
	// Publish tells all clients that wait for the final answer that it is on disk.
	Publish struct{ ID ID }
)

// Wake asks the caller to call JobTable.Wake at the given time. A later Wake effect replaces an earlier one.
type Wake struct{ At time.Duration }

func (StoreJob) effect()      {}
func (StoreAttempt) effect()  {}
func (StoreNeverRan) effect() {}
func (StoreFinal) effect()    {}
func (StoreForget) effect()   {}
func (Acknowledge) effect()   {}
func (Submit) effect()        {}
func (Withdraw) effect()      {}
func (SendAttempt) effect()   {}
func (DropAttempt) effect()   {}
func (QueryAttempt) effect()  {}
func (Publish) effect()       {}
func (Wake) effect()          {}
