package store

import (
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// This file encodes records as CBOR. The types of the encoding are used in this file only.

const maxRecordBytes = 1 << 20 // largest size of an encoded record

// wireRecord is the encoding of a Record, a CBOR map. The integer keys are part of the format on disk.
type wireRecord struct {
	Kind           Kind          `cbor:"1,keyasint"`
	ID             text          `cbor:"2,keyasint"`
	At             time.Time     `cbor:"3,keyasint"`
	JobClass       text          `cbor:"4,keyasint,omitzero"`
	Deadline       time.Time     `cbor:"5,keyasint,omitzero"`
	Work           time.Duration `cbor:"6,keyasint,omitempty"`
	URI            text          `cbor:"7,keyasint,omitzero"`
	Host           text          `cbor:"8,keyasint,omitzero"`
	ContentType    text          `cbor:"9,keyasint,omitzero"`
	IdempotencyKey text          `cbor:"10,keyasint,omitzero"`
	Body           []byte        `cbor:"11,keyasint,omitempty"`
	Epoch          uint32        `cbor:"12,keyasint,omitempty"`
	Executor       text          `cbor:"13,keyasint,omitzero"`
	NeverRan       bool          `cbor:"14,keyasint,omitempty"`
	Outcome        uint8         `cbor:"15,keyasint,omitempty"`
	RetryTerms     *wireTerms    `cbor:"16,keyasint,omitempty"`
	Lease          text          `cbor:"17,keyasint,omitzero"`
}

// wireTerms is the encoding of RetryTerms: a CBOR array with these fields in this order.
type wireTerms struct {
	_           struct{} `cbor:",toarray"`
	Idempotency uint8
	DedupGroup  uint8
	DedupWindow time.Duration
}

// text is a string of any bytes. It is encoded as a CBOR text string if it is UTF-8, and otherwise as a CBOR byte string, because
// a text string must be UTF-8 (RFC 8949, section 3.1).
type text string

// MarshalCBOR implements cbor.Marshaler.
func (t text) MarshalCBOR() ([]byte, error) {
	if utf8.ValidString(string(t)) {
		return cbor.Marshal(string(t))
	}
	return cbor.Marshal([]byte(t))
}

// recordEncoding encodes times as floating-point seconds, rounded to microseconds.
var recordEncoding = must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())

// recordDecoding decodes both encodings of text. It also accepts text strings that are not UTF-8, which earlier versions wrote.
var recordDecoding = must(cbor.DecOptions{
	ByteStringToString: cbor.ByteStringToStringAllowed,
	UTF8:               cbor.UTF8DecodeInvalid,
}.DecMode())

// strictRecordDecoding decodes what this version encodes.
var strictRecordDecoding = must(cbor.DecOptions{ByteStringToString: cbor.ByteStringToStringAllowed}.DecMode())

// must returns v, or panics on an error. The options above are constant, so an error is a mistake in this file.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// appendRecord appends an encoded record to b. On an error, which wraps ErrInvalidRecord, it returns b unchanged.
func appendRecord(b []byte, r Record) ([]byte, error) {
	if err := r.validate(); err != nil {
		return b, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	encoded, err := recordEncoding.Marshal(newWireRecord(r))
	if err != nil {
		return b, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	if len(encoded) > maxRecordBytes {
		return b, fmt.Errorf("%w: it is %d bytes long, over the limit of %d", ErrInvalidRecord, len(encoded), maxRecordBytes)
	}
	return append(b, encoded...), nil
}

// decodeRecord decodes the record at the start of b. rest holds the bytes after the record. An error names the record's job, if
// at least its ID can be decoded.
func decodeRecord(b []byte) (r Record, rest []byte, err error) {
	var wire wireRecord
	rest, err = recordDecoding.UnmarshalFirst(b, &wire)
	if err != nil {
		return r, nil, fmt.Errorf("the frame's checksum is correct, but a record of job %q can't be decoded: %w", decodeID(b), err)
	}
	r = wire.record()
	if err := r.validate(); err != nil {
		return r, nil, fmt.Errorf("the frame's checksum is correct, but %w", err)
	}
	return r, rest, nil
}

// decodeID returns the ID in the record at the start of b, or an empty string if it can't be decoded either.
func decodeID(b []byte) string {
	var wire struct {
		ID text `cbor:"2,keyasint"`
	}
	recordDecoding.UnmarshalFirst(b, &wire) //nolint:errcheck // the ID stays empty
	return string(wire.ID)
}

// isEarlierEncoding reports whether the encoding of a record has text strings that are not UTF-8, which only earlier versions wrote.
func isEarlierEncoding(encoded []byte) bool {
	var wire wireRecord
	_, err := strictRecordDecoding.UnmarshalFirst(encoded, &wire)
	return err != nil
}

// validate returns an error if a record is invalid. Neither an encoded nor a decoded record can be invalid.
func (r *Record) validate() error {
	if r.Kind < Accepted || r.Kind > Released || r.ID == "" {
		return fmt.Errorf("a record is invalid: kind %d, job %q", r.Kind, r.ID)
	}
	return nil
}

func newWireRecord(r Record) wireRecord {
	return wireRecord{
		Kind:           r.Kind,
		ID:             text(r.ID),
		At:             r.At,
		JobClass:       text(r.JobClass),
		Deadline:       r.Deadline,
		Work:           r.Work,
		URI:            text(r.URI),
		Host:           text(r.Host),
		ContentType:    text(r.ContentType),
		IdempotencyKey: text(r.IdempotencyKey),
		Body:           r.Body,
		Epoch:          r.Epoch,
		Executor:       text(r.Executor),
		NeverRan:       r.NeverRan,
		Outcome:        r.Outcome,
		RetryTerms:     newWireTerms(r.RetryTerms),
		Lease:          text(r.Lease),
	}
}

func newWireTerms(terms *RetryTerms) *wireTerms {
	if terms == nil {
		return nil
	}
	return &wireTerms{Idempotency: terms.Idempotency, DedupGroup: terms.DedupGroup, DedupWindow: terms.DedupWindow}
}

func (w *wireTerms) terms() *RetryTerms {
	if w == nil {
		return nil
	}
	return &RetryTerms{Idempotency: w.Idempotency, DedupGroup: w.DedupGroup, DedupWindow: w.DedupWindow}
}

func (w *wireRecord) record() Record {
	return Record{
		Kind:           w.Kind,
		ID:             string(w.ID),
		At:             w.At,
		JobClass:       string(w.JobClass),
		Deadline:       w.Deadline,
		Work:           w.Work,
		URI:            string(w.URI),
		Host:           string(w.Host),
		ContentType:    string(w.ContentType),
		IdempotencyKey: string(w.IdempotencyKey),
		Body:           w.Body,
		Epoch:          w.Epoch,
		Executor:       string(w.Executor),
		NeverRan:       w.NeverRan,
		Outcome:        w.Outcome,
		RetryTerms:     w.RetryTerms.terms(),
		Lease:          string(w.Lease),
	}
}
