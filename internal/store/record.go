package store

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
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
// times, and are rounded to microseconds on disk. The integer keys are part of the format on disk.
type Record struct {
	Kind Kind      `cbor:"1,keyasint"`
	ID   string    `cbor:"2,keyasint"` // ID of the batch job
	At   time.Time `cbor:"3,keyasint"` // when the record was made

	// The fields from JobClass to Body describe the request of the batch job. They are used in Accepted records.
	JobClass       string        `cbor:"4,keyasint,omitempty"`
	Deadline       time.Time     `cbor:"5,keyasint,omitzero"`
	Work           time.Duration `cbor:"6,keyasint,omitempty"` // the client's estimate of the work; 0 if the client gave none
	URI            string        `cbor:"7,keyasint,omitempty"`
	Host           string        `cbor:"8,keyasint,omitempty"`
	ContentType    string        `cbor:"9,keyasint,omitempty"`
	IdempotencyKey string        `cbor:"10,keyasint,omitempty"`
	Body           []byte        `cbor:"11,keyasint,omitempty"` // body of the request; in a Final record, body of the result

	// The fields from Epoch to NeverRan describe an attempt. They are used in AttemptStarted and AttemptEnded records.
	Epoch    uint32 `cbor:"12,keyasint,omitempty"`
	Executor string `cbor:"13,keyasint,omitempty"`
	NeverRan bool   `cbor:"14,keyasint,omitempty"` // the attempt is known not to have run; set in AttemptEnded records only

	Outcome uint8 `cbor:"15,keyasint,omitempty"` // the leases.Outcome of the final answer; set in Final records
}

const maxRecordBytes = 1 << 20 // largest size of an encoded record

// recordEncoding encodes times as floating-point seconds, rounded to microseconds.
var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // can't happen, because the options are constant and valid
	}
	return mode
}()

// appendRecord appends an encoded record to b. On an error it returns b unchanged.
func appendRecord(b []byte, r Record) ([]byte, error) {
	encoded, err := recordEncoding.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(encoded) > maxRecordBytes {
		return b, fmt.Errorf("the record is %d bytes long, over the limit of %d", len(encoded), maxRecordBytes)
	}
	return append(b, encoded...), nil
}

// decodeRecord decodes the record at the start of b. rest holds the bytes after the record.
func decodeRecord(b []byte) (r Record, rest []byte, err error) {
	rest, err = cbor.UnmarshalFirst(b, &r)
	if err != nil {
		return r, nil, fmt.Errorf("the frame's checksum is correct, but a record can't be decoded: %w", err)
	}
	if r.Kind < Accepted || r.Kind > Released || r.ID == "" {
		return r, nil, fmt.Errorf("the frame's checksum is correct, but a record is invalid: kind %d, job %q", r.Kind, r.ID)
	}
	return r, rest, nil
}
