package store

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind is a kind of record. The numbers are part of the format.
type Kind uint8

// The kinds of records, in the order in which a job has them. After the last one nothing is left of the job.
const (
	Accepted       Kind = iota + 1 // a batch job was accepted
	AttemptStarted                 // an attempt is about to be sent, under Epoch
	AttemptEnded                   // that attempt has ended; NeverRan: provably without having run
	Final                          // the job's final answer
	Released                       // nobody needs the job any more
)

var kindNames = [...]string{"", "accepted", "sent", "over", "final", "let go"}

// String is the kind's name.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Record is a step of a batch job as it is on disk. Which fields count depends on its kind. Times are times of day, to the microsecond.
// The integer keys are part of the format.
type Record struct {
	Kind Kind      `cbor:"1,keyasint"`
	ID   string    `cbor:"2,keyasint"` // the job's
	At   time.Time `cbor:"3,keyasint"`

	// Of an accepted job: its request.
	JobClass       string        `cbor:"4,keyasint,omitempty"`
	Deadline       time.Time     `cbor:"5,keyasint,omitzero"`
	Work           time.Duration `cbor:"6,keyasint,omitempty"` // as the client estimates it
	URI            string        `cbor:"7,keyasint,omitempty"`
	Host           string        `cbor:"8,keyasint,omitempty"`
	ContentType    string        `cbor:"9,keyasint,omitempty"`
	IdempotencyKey string        `cbor:"10,keyasint,omitempty"`
	Body           []byte        `cbor:"11,keyasint,omitempty"` // of the request, or with the final answer that of the result

	// Of the start and the end of an attempt.
	Epoch    uint32 `cbor:"12,keyasint,omitempty"`
	Executor string `cbor:"13,keyasint,omitempty"`
	NeverRan bool   `cbor:"14,keyasint,omitempty"`

	Outcome uint8 `cbor:"15,keyasint,omitempty"` // with the final answer, as package leases numbers them
}

const maxRecordBytes = 1 << 20

// recordEncoding writes times as seconds, rounded to microseconds.
var recordEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err) // of constant options
	}
	return mode
}()

// appendRecord appends an encoded record to b. After an error b is as it was.
func appendRecord(b []byte, r Record) ([]byte, error) {
	encoded, err := recordEncoding.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(encoded) > maxRecordBytes {
		return b, fmt.Errorf("a record of %d bytes: over %d", len(encoded), maxRecordBytes)
	}
	return append(b, encoded...), nil
}

// decodeRecord decodes the record at the front of b, and returns what follows it.
func decodeRecord(b []byte) (r Record, rest []byte, err error) {
	rest, err = cbor.UnmarshalFirst(b, &r)
	if err != nil {
		return r, nil, fmt.Errorf("a frame whose checksum holds makes no sense: %w", err)
	}
	if r.Kind < Accepted || r.Kind > Released || r.ID == "" {
		return r, nil, fmt.Errorf("a record whose checksum holds is of kind %d and about %q", r.Kind, r.ID)
	}
	return r, rest, nil
}
