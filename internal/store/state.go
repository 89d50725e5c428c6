package store

import "time"

// State is what the records of a batch job add up to.
type State struct {
	Accepted *Record // never changed
	Sends    []Attempt
	Final    *Record
}

// Attempt is an attempt that was recorded before it was sent.
type Attempt struct {
	Epoch    uint32
	Executor string
	At       time.Time
	Over     bool // it has ended
	NeverRan bool // provably
}

// JobStates are the states of all batch jobs, by their IDs.
type JobStates map[string]*State

// Apply applies a record; records must come in the order of the log. One about a job that is not there, or not any more, has no effect.
func (s JobStates) Apply(r Record) {
	job := s[r.ID]
	if job == nil {
		if r.Kind == Accepted {
			s[r.ID] = &State{Accepted: &r}
		}
		return
	}
	switch r.Kind {
	case Sent:
		if job.attempt(r.Epoch) == nil {
			job.Sends = append(job.Sends, Attempt{Epoch: r.Epoch, Executor: r.Executor, At: r.At})
		}
	case Over:
		if attempt := job.attempt(r.Epoch); attempt != nil {
			attempt.Over, attempt.NeverRan = true, r.NeverRan
		}
	case Final:
		if job.Final == nil {
			job.Final = &r
		}
	case LetGo:
		delete(s, r.ID)
	}
}

// attempt is the attempt under an epoch, or nil.
func (s *State) attempt(epoch uint32) *Attempt {
	for i := range s.Sends {
		if s.Sends[i].Epoch == epoch {
			return &s.Sends[i]
		}
	}
	return nil
}

// Records are records that add up to the state, in order.
func (s *State) Records() []Record {
	records := []Record{*s.Accepted}
	for _, a := range s.Sends {
		r := Record{Kind: Sent, ID: s.Accepted.ID, At: a.At, Epoch: a.Epoch, Executor: a.Executor}
		records = append(records, r)
		if a.Over {
			r.Kind, r.NeverRan = Over, a.NeverRan
			records = append(records, r)
		}
	}
	if s.Final != nil {
		records = append(records, *s.Final)
	}
	return records
}

// clone is a copy whose attempts are its own.
func (s *State) clone() State {
	c := *s
	c.Sends = append([]Attempt(nil), s.Sends...)
	return c
}
