package store

import "time"

// JobState is the state of a batch job that results from its records.
type JobState struct {
	Accepted *Record   // the record of acceptance; immutable
	Attempts []Attempt // in the order in which they were recorded
	Final    *Record   // the record of the final answer; nil until there is one
}

// Attempt is the state of one attempt, which is recorded before the attempt is sent.
type Attempt struct {
	Epoch    uint32
	Executor string
	At       time.Time // when it was recorded
	Ended    bool
	NeverRan bool // the attempt is known not to have run
}

// JobStates are the states of all batch jobs, by ID.
type JobStates map[string]*JobState

// Apply applies a record to the state of its job. Records must be applied in the order of the log. A record of a job that was
// never accepted, or was released, has no effect unless it accepts the job.
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
			job.Attempts = append(job.Attempts, Attempt{Epoch: r.Epoch, Executor: r.Executor, At: r.At})
		}
	case AttemptEnded:
		if attempt := job.attempt(r.Epoch); attempt != nil {
			attempt.Ended, attempt.NeverRan = true, r.NeverRan
		}
	case Final:
		if job.Final == nil {
			job.Final = &r
		}
	case Released:
		delete(s, r.ID)
	}
}

// attempt returns the attempt that has an epoch, or nil.
func (s *JobState) attempt(epoch uint32) *Attempt {
	for i := range s.Attempts {
		if s.Attempts[i].Epoch == epoch {
			return &s.Attempts[i]
		}
	}
	return nil
}

// Records returns records, in order, from which Apply restores the state.
func (s *JobState) Records() []Record {
	records := []Record{*s.Accepted}
	for _, a := range s.Attempts {
		r := Record{Kind: AttemptStarted, ID: s.Accepted.ID, At: a.At, Epoch: a.Epoch, Executor: a.Executor}
		records = append(records, r)
		if a.Ended {
			r.Kind, r.NeverRan = AttemptEnded, a.NeverRan
			records = append(records, r)
		}
	}
	if s.Final != nil {
		records = append(records, *s.Final)
	}
	return records
}

// clone returns a copy that doesn't share its list of attempts. The records of the copy are shared.
func (s *JobState) clone() JobState {
	c := *s
	c.Attempts = append([]Attempt(nil), s.Attempts...)
	return c
}
