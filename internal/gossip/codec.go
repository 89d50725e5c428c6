package gossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
	"birchstair/policy"
)

// The messages between nodes, as CBOR. Their forms go no further than this file.

// version goes up when the meaning of a message changes. Fields that the receiver does not know are skipped.
const version = 1

// maxMessageBytes is the longest gossip message, so that it fits one datagram.
const maxMessageBytes = 1300

// gossipMessage is a peer's load and the drains that it knows of; on the wire it is a map.
type gossipMessage struct {
	Version     uint8           `cbor:"0,keyasint"`
	From        string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Seq         uint64          `cbor:"3,keyasint"`
	Offered     map[int]float32 `cbor:"4,keyasint,omitempty"` // work a second, by priority level
	Completed   float32         `cbor:"5,keyasint,omitempty"`
	Expired     float32         `cbor:"6,keyasint,omitempty"`
	Drains      []drainMessage  `cbor:"7,keyasint,omitempty"`
	Waiting     float32         `cbor:"8,keyasint,omitempty"`
	Admitted    float32         `cbor:"9,keyasint,omitempty"`
	Migrations  float32         `cbor:"10,keyasint,omitempty"`
}

// drainMessage is an executor that drains; on the wire it is an array in the order of its fields.
type drainMessage struct {
	_           struct{} `cbor:",toarray"`
	Executor    string
	Incarnation int64 // when it started, in Unix milliseconds as in the endpoint list; 0 for long ago
	AgeMs       int64 // since a node learned of the drain
}

// leaseMessage is a message about an executor's leases; on the wire it is an array in the order of its fields.
type leaseMessage struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	From    int
	Message uint8
	Hash    uint32 // of the executor
}

// Reasons why a message is dropped. Their texts are part of the answer to operators.
var (
	errTooLong      = errors.New("longer than a word may be")
	errMalformed    = errors.New("that make no sense")
	errNoVersion    = errors.New("without a version")
	errNewerVersion = errors.New("of a newer version")
	errOtherVersion = errors.New("of another version")
	errMalformedAge = errors.New("with an age that makes no sense")
	errNameConflict = errors.New("of a second node of the same name")
)

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

// must is for options that are constants of this file.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// encodeGossip encodes a message. Drains that don't fit are left out, half of them at a time; the next message carries them.
func encodeGossip(message cluster.Message) ([]byte, error) {
	wire := newGossipMessage(message)
	for {
		b, err := encMode.Marshal(wire)
		switch {
		case err != nil:
			return nil, fmt.Errorf("encode a gossip message: %w", err)
		case len(b) <= maxMessageBytes:
			return b, nil
		case len(wire.Drains) == 0:
			return nil, fmt.Errorf("a gossip message of %d bytes, over %d", len(b), maxMessageBytes)
		}
		wire.Drains = wire.Drains[:len(wire.Drains)/2]
	}
}

func newGossipMessage(message cluster.Message) gossipMessage {
	rates := &message.Rates
	wire := gossipMessage{
		Version:     version,
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
			AgeMs:       (drain.Age + time.Millisecond - 1).Milliseconds(), // rounded up: an age never shrinks on its way
		})
	}
	return wire
}

// decodeGossip decodes a message. Package cluster checks which rates and ages are plausible.
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
	if wire.Version > version {
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

// cborArray is the major type of an array, in the upper three bits of the first byte.
const cborArray = 4

// isLeaseMessage tells the two kinds of messages apart: a lease message is an array, a gossip message a map.
func isLeaseMessage(b []byte) bool { return len(b) > 0 && b[0]>>5 == cborArray }

func encodeLeaseMessage(from policy.NodeID, message node.SendLeaseMessage) ([]byte, error) {
	b, err := encMode.Marshal(leaseMessage{
		Version: version,
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
	case wire.Version != version:
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
