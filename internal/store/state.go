package store

import "time"

// JobState is what the records of a batch job add up to.
type JobState struct {
	Accepted *Record // never changed
	Attempts []Attempt
	Final    *Record
}

// Attempt is an attempt that was recorded before it was sent.
type Attempt struct {
	Epoch    uint32
	Executor string
	At       time.Time
	Ended    bool
	NeverRan bool // provably
}

// JobStates are the states of all batch jobs, by their IDs.
type JobStates map[string]*JobState

// Apply applies a record; records must come in the order of the log. One about a job that is not there, or not any more, has no effect.
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

// attempt is the attempt under an epoch, or nil.
func (s *JobState) attempt(epoch uint32) *Attempt {
	for i := range s.Attempts {
		if s.Attempts[i].Epoch == epoch {
			return &s.Attempts[i]
		}
	}
	return nil
}

// Records are records that add up to the state, in order.
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

// clone is a copy whose attempts are its own.
func (s *JobState) clone() JobState {
	c := *s
	c.Attempts = append([]Attempt(nil), s.Attempts...)
	return c
}
