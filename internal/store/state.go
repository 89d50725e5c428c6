package store

import "time"

// JobState is the state of a batch job, as it results from the job's records.
type JobState struct {
	Accepted *Record   // the job's Accepted record; immutable
	Attempts []Attempt // the job's attempts, in the order of their AttemptStarted records
	Final    *Record   // the job's Final record without its body, which Store.Result reads; nil while the job has no final answer
}

// Attempt is the state of one attempt. An attempt is recorded before it is sent.
type Attempt struct {
	Epoch    uint32
	Executor string
	Lease    string    // name of the job at the executor; empty if an earlier version started the attempt
	At       time.Time // time of the attempt's AttemptStarted record
	Ended    bool      // the attempt has an AttemptEnded record
	NeverRan bool      // the attempt is known not to have run
}

// JobStates holds the states of batch jobs by job ID.
type JobStates map[string]*JobState

// Apply applies a record to the state of the record's job. Records must be applied in the order of the log. If the job is unknown,
// because it was never accepted or was released, only an Accepted record has an effect.
func (s JobStates) Apply(r Record) {
	job := s[r.ID]
	if job == nil {
		if r.Kind == Accepted {
			s[r.ID] = &JobState{Accepted: &r}
		}
		return
	}
	switch r.Kind {
	case AttemptStarted:
		if job.attempt(r.Epoch) == nil {
			job.Attempts = append(job.Attempts, Attempt{Epoch: r.Epoch, Executor: r.Executor, Lease: r.Lease, At: r.At})
		}
	case AttemptEnded:
		if attempt := job.attempt(r.Epoch); attempt != nil {
			attempt.Ended, attempt.NeverRan = true, r.NeverRan
		}
	case Final:
		if job.Final == nil {
			r.Body = nil
			job.Final = &r
		}
	case Released:
		delete(s, r.ID)
	}
}

// attempt returns the attempt with this epoch, or nil if there is none.
func (s *JobState) attempt(epoch uint32) *Attempt {
	for i := range s.Attempts {
		if s.Attempts[i].Epoch == epoch {
			return &s.Attempts[i]
		}
	}
	return nil
}

// Records returns records that restore the state when Apply is called with each of them in this order. The Final record has no body.
func (s *JobState) Records() []Record {
	records := []Record{*s.Accepted}
	for _, a := range s.Attempts {
		r := Record{Kind: AttemptStarted, ID: s.Accepted.ID, At: a.At, Epoch: a.Epoch, Executor: a.Executor, Lease: a.Lease}
		records = append(records, r)
		if a.Ended {
			r.Kind, r.NeverRan, r.Lease = AttemptEnded, a.NeverRan, ""
			records = append(records, r)
		}
	}
	if s.Final != nil {
		records = append(records, *s.Final)
	}
	return records
}

// clone returns a copy of the state. The copy has its own list of attempts, but shares the Accepted and Final records with s.
func (s *JobState) clone() JobState {
	c := *s
	c.Attempts = append([]Attempt(nil), s.Attempts...)
	return c
}
