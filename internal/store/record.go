package store

import (
	"time"
	"unicode/utf8"
)

// Kind is a kind of record. The numeric values are part of the format on disk.
type Kind uint8

// The kinds of records, in the order in which they are written for a job.
const (
	Accepted       Kind = iota + 1 // the batch job was accepted
	AttemptStarted                 // an attempt is about to be sent
	AttemptEnded                   // an attempt has ended; Record.NeverRan is set if the attempt is known not to have run
	Final                          // the batch job has its final answer
	Released                       // the batch job is no longer needed, and all of the job's records are obsolete
)

var kindNames = [...]string{"", "accepted", "sent", "over", "final", "let go"}

// String returns the name of the kind in the output of operators' commands.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Record is one record of a batch job in the store. The record's kind determines which fields are used. Times are wall-clock
// times, and are rounded to microseconds on disk. A string can hold any bytes, such as a header's value in ISO 8859-1.
type Record struct {
	Kind Kind
	ID   string    // ID of the batch job
	At   time.Time // when the record was made

	// The fields from JobClass to Body describe the request of the batch job. They are used in Accepted records.
	JobClass       string
	Deadline       time.Time
	Work           time.Duration // the client's estimate of the work; 0 if the client gave none
	URI            string
	Host           string
	ContentType    string
	IdempotencyKey string
	Body           []byte // body of the request; in a Final record, body of the result
	// Terms of the job's class when the job was accepted; nil in records of earlier versions.
	RetryTerms *RetryTerms

	// The fields from Epoch to NeverRan describe an attempt. They are used in AttemptStarted and AttemptEnded records.
	Epoch    uint32
	Executor string
	NeverRan bool // the attempt is known not to have run; set in AttemptEnded records only

	// Name of the job at executors; in an AttemptStarted record, the one under which the attempt is sent. Used in Accepted and
	// AttemptStarted records; empty in those of earlier versions.
	Lease string

	Outcome uint8 // the leases.Outcome of the final answer; set in Final records
}

// isUTF8 reports whether all text of a record is UTF-8.
func (r *Record) isUTF8() bool {
	for _, text := range [...]string{r.ID, r.JobClass, r.URI, r.Host, r.ContentType, r.IdempotencyKey, r.Executor, r.Lease} {
		if !utf8.ValidString(text) {
			return false
		}
	}
	return true
}

// RetryTerms are the properties of a job class that decide whether a job may run again after an attempt that may have run. They are
// those of policy.JobClass.
type RetryTerms struct {
	Idempotency uint8
	DedupGroup  uint8
	DedupWindow time.Duration
}
