package gossip

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
	"birchstair/policy"
)

// This file encodes the messages between nodes as CBOR. The types of the encoding are used in this file only.

// wireVersion is the version of the messages. It increases when the meaning of a field changes. A new field doesn't
// increase it, because a receiver skips fields that it doesn't know.
const wireVersion = 1

// maxMessageBytes is the maximum size of a gossip message. A message of this size fits into one datagram.
const maxMessageBytes = 1300

// gossipMessage is the encoding of cluster.Message, a CBOR map with integer keys. Loads have the units of
// cluster.Rates.
type gossipMessage struct {
	Version     uint8           `cbor:"0,keyasint"`
	From        string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Seq         uint64          `cbor:"3,keyasint"`
	Offered     map[int]float32 `cbor:"4,keyasint,omitempty"` // rates of offered work, by priority level
	Completed   float32         `cbor:"5,keyasint,omitempty"`
	Expired     float32         `cbor:"6,keyasint,omitempty"`
	Drains      []drainMessage  `cbor:"7,keyasint,omitempty"`
	Waiting     float32         `cbor:"8,keyasint,omitempty"`
	Admitted    float32         `cbor:"9,keyasint,omitempty"`
	Migrations  float32         `cbor:"10,keyasint,omitempty"`
}

// drainMessage is the encoding of cluster.Drain: a CBOR array with these fields in this order.
type drainMessage struct {
	_        struct{} `cbor:",toarray"`
	Executor string
	// When the executor started according to the endpoint list, in Unix milliseconds; 0 if it started long ago.
	Incarnation int64
	AgeMs       int64 // milliseconds since the endpoint list of any node last showed the drain
}

// leaseMessage is the encoding of a message about an executor's leases: a CBOR array with these fields in this order.
type leaseMessage struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	From    int    // number of the sending node
	Message uint8  // kind of the message, a policy.LeaseMessage
	Hash    uint32 // hash that identifies the executor
}

// Reasons for dropping a message. Operators read these texts in an answer of the admin API, after "dropped=N words", where
// "words" means messages.
var (
	errTooLong      = errors.New("longer than a word may be")
	errMalformed    = errors.New("that make no sense")
	errNoVersion    = errors.New("without a version")
	errNewerVersion = errors.New("of a newer version")
	errOtherVersion = errors.New("of another version")
	errMalformedAge = errors.New("with an age that makes no sense")
	errNameConflict = errors.New("of a second node of the same name")
)

// errNotText means that a message holds text that is not UTF-8.
var errNotText = errors.New("encode a gossip message: the name of the node or of an executor is not UTF-8")

// maxAgeMillis is the largest age that a time.Duration can hold, in milliseconds.
const maxAgeMillis = math.MaxInt64 / int64(time.Millisecond)

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: 64,
		MaxMapPairs:      128,
		MaxNestedLevels:  4,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// must returns v, or panics on an error. The CBOR options above are constant, so an error is a mistake in this file.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// encodeGossip encodes a message. While the message is too long, the second half of its drains is dropped. A dropped
// drain is sent when cluster.State includes it in a message again. The error is errNotText if peers could not decode the
// message, because the name of the sender or an executor is not UTF-8.
func encodeGossip(message cluster.Message) ([]byte, error) {
	wire := newGossipMessage(message)
	if !wire.hasValidText() {
		return nil, errNotText
	}
	for {
		b, err := encMode.Marshal(wire)
		switch {
		case err != nil:
			return nil, fmt.Errorf("encode a gossip message: %w", err)
		case len(b) <= maxMessageBytes:
			return b, nil
		case len(wire.Drains) == 0:
			return nil, fmt.Errorf("gossip message of %d bytes exceeds the limit of %d bytes", len(b), maxMessageBytes)
		}
		wire.Drains = wire.Drains[:len(wire.Drains)/2]
	}
}

// hasValidText reports whether all text of a message is UTF-8. Decoders drop a message with other text.
func (wire *gossipMessage) hasValidText() bool {
	for _, drain := range wire.Drains {
		if !utf8.ValidString(drain.Executor) {
			return false
		}
	}
	return utf8.ValidString(wire.From)
}

func newGossipMessage(message cluster.Message) gossipMessage {
	rates := &message.Rates
	wire := gossipMessage{
		Version:     wireVersion,
		From:        string(message.From),
		Incarnation: message.Incarnation,
		Seq:         message.Seq,
		Completed:   float32(rates.Completed),
		Expired:     float32(rates.Expired),
		Waiting:     float32(rates.Waiting),
		Admitted:    float32(rates.Admitted),
		Migrations:  float32(rates.Migrations),
	}
	if len(rates.Offered) > 0 {
		wire.Offered = map[int]float32{}
		for level, rate := range rates.Offered {
			wire.Offered[level] = float32(rate)
		}
	}
	for _, drain := range message.Drains {
		wire.Drains = append(wire.Drains, drainMessage{
			Executor:    string(drain.Executor),
			Incarnation: drain.ExecutorStart,
			// The age is rounded up, so that passing a drain on never makes it younger.
			AgeMs: (drain.Age + time.Millisecond - 1).Milliseconds(),
		})
	}
	return wire
}

// decodeGossip decodes a message. It doesn't check whether rates are plausible, or whether ages are within
// Settings.DrainTTL. Package cluster does.
func decodeGossip(b []byte) (cluster.Message, error) {
	var wire gossipMessage
	if len(b) > maxMessageBytes {
		return cluster.Message{}, errTooLong
	}
	if err := decMode.Unmarshal(b, &wire); err != nil {
		return cluster.Message{}, errMalformed
	}
	if wire.Version == 0 {
		return cluster.Message{}, errNoVersion
	}
	if wire.Version > wireVersion {
		return cluster.Message{}, errNewerVersion
	}
	return wire.message()
}

func (wire *gossipMessage) message() (cluster.Message, error) {
	message := cluster.Message{
		From:        cluster.NodeName(wire.From),
		Incarnation: wire.Incarnation,
		Seq:         wire.Seq,
		Rates: cluster.Rates{
			Offered:    map[int]float64{},
			Completed:  float64(wire.Completed),
			Expired:    float64(wire.Expired),
			Waiting:    float64(wire.Waiting),
			Admitted:   float64(wire.Admitted),
			Migrations: float64(wire.Migrations),
		},
	}
	for level, rate := range wire.Offered {
		message.Rates.Offered[level] = float64(rate)
	}
	for _, drain := range wire.Drains {
		if drain.AgeMs < 0 || drain.AgeMs > maxAgeMillis {
			return message, errMalformedAge
		}
		message.Drains = append(message.Drains, cluster.Drain{
			Executor:      policy.ExecutorID(drain.Executor),
			ExecutorStart: drain.Incarnation,
			Age:           time.Duration(drain.AgeMs) * time.Millisecond,
		})
	}
	return message, nil
}

// cborArray is the CBOR major type of an array. The upper three bits of a value's first byte are its major type.
const cborArray = 4

// isLeaseMessage reports whether a message is a lease message. Lease messages are CBOR arrays, and gossip messages are
// CBOR maps.
func isLeaseMessage(b []byte) bool { return len(b) > 0 && b[0]>>5 == cborArray }

func encodeLeaseMessage(from policy.NodeID, message node.SendLeaseMessage) ([]byte, error) {
	b, err := encMode.Marshal(leaseMessage{
		Version: wireVersion,
		From:    int(from),
		Message: uint8(message.Message),
		Hash:    uint32(message.Hash),
	})
	if err != nil {
		return nil, fmt.Errorf("encode a lease message: %w", err)
	}
	return b, nil
}

func decodeLeaseMessage(b []byte) (node.LeaseMessageReceived, error) {
	var wire leaseMessage
	if err := decMode.Unmarshal(b, &wire); err != nil {
		return node.LeaseMessageReceived{}, errMalformed
	}
	kind := policy.LeaseMessage(wire.Message)
	switch {
	case wire.Version != wireVersion:
		return node.LeaseMessageReceived{}, errOtherVersion
	case wire.From < 0 || kind < policy.LeaseRequest || kind > policy.LeaseReturnDelayed:
		return node.LeaseMessageReceived{}, errMalformed
	}
	return node.LeaseMessageReceived{
		From:    policy.NodeID(wire.From),
		Message: kind,
		Hash:    policy.ExecutorHash(wire.Hash),
	}, nil
}
