package gossip

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
	"birchstair/policy"
)

// What nodes say to each other, as CBOR; the words go no further than this file.

// version goes up when what is said changes its meaning. Fields that one side does not know are passed over.
const version = 1

// maxMessageBytes is the longest word: it goes in one datagram.
const maxMessageBytes = 1300

type gossipMessage struct {
	Version     uint8           `cbor:"0,keyasint"`
	From        string          `cbor:"1,keyasint"`
	Incarnation uint64          `cbor:"2,keyasint"`
	Seq         uint64          `cbor:"3,keyasint"`
	Offered     map[int]float32 `cbor:"4,keyasint,omitempty"`
	Completed   float32         `cbor:"5,keyasint,omitempty"`
	Expired     float32         `cbor:"6,keyasint,omitempty"`
	Drains      []drainMessage  `cbor:"7,keyasint,omitempty"`
	Waiting     float32         `cbor:"8,keyasint,omitempty"`
	Admitted    float32         `cbor:"9,keyasint,omitempty"`
	Migrations  float32         `cbor:"10,keyasint,omitempty"`
}

type drainMessage struct {
	_           struct{} `cbor:",toarray"`
	Executor    string
	Incarnation int64 // Unix milliseconds, as the list has it; 0 for long ago
	AgeMs       int64
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 128, MaxNestedLevels: 4, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // of options written here: it can't be
	}
	return v
}

// encodeGossip writes a word; drains that find no room are left out, the next word has them.
func encodeGossip(w cluster.Message) ([]byte, error) {
	text := gossipMessage{Version: version, From: string(w.From), Incarnation: w.Incarnation, Seq: w.Seq, Completed: float32(w.Rates.Completed), Expired: float32(w.Rates.Expired), Waiting: float32(w.Rates.Waiting), Admitted: float32(w.Rates.Admitted),
		Migrations: float32(w.Rates.Migrations)}
	if len(w.Rates.Offered) > 0 {
		text.Offered = map[int]float32{}
		for rung, x := range w.Rates.Offered {
			text.Offered[rung] = float32(x)
		}
	}
	for _, d := range w.Drains {
		text.Drains = append(text.Drains, drainMessage{Executor: string(d.Executor), Incarnation: d.Incarnation, AgeMs: (d.Age + time.Millisecond - 1).Milliseconds()})
	}
	for {
		b, err := encMode.Marshal(text)
		switch {
		case err != nil:
			return nil, err
		case len(b) <= maxMessageBytes:
			return b, nil
		case len(text.Drains) == 0:
			return nil, fmt.Errorf("a word of %d bytes, over %d", len(b), maxMessageBytes)
		}
		text.Drains = text.Drains[:len(text.Drains)/2]
	}
}

// decodeGossip reads a word. What its figures and ages may be, the decider checks.
func decodeGossip(b []byte) (w cluster.Message, err error) {
	var text gossipMessage
	if len(b) > maxMessageBytes {
		return w, fmt.Errorf("longer than a word may be")
	}
	if err := decMode.Unmarshal(b, &text); err != nil {
		return w, fmt.Errorf("that make no sense")
	}
	if text.Version == 0 {
		return w, fmt.Errorf("without a version")
	}
	if text.Version > version {
		return w, fmt.Errorf("of a newer version")
	}
	w = cluster.Message{From: cluster.NodeName(text.From), Incarnation: text.Incarnation, Seq: text.Seq,
		Rates: cluster.Rates{Offered: map[int]float64{}, Completed: float64(text.Completed), Expired: float64(text.Expired), Waiting: float64(text.Waiting), Admitted: float64(text.Admitted), Migrations: float64(text.Migrations)}}
	for rung, x := range text.Offered {
		w.Rates.Offered[rung] = float64(x)
	}
	for _, d := range text.Drains {
		if d.AgeMs < 0 || d.AgeMs > math.MaxInt64/int64(time.Millisecond) {
			return w, fmt.Errorf("with an age that makes no sense")
		}
		w.Drains = append(w.Drains, cluster.Drain{Executor: policy.ExecutorID(d.Executor), Incarnation: d.Incarnation, Age: time.Duration(d.AgeMs) * time.Millisecond})
	}
	return w, nil
}

// leaseMessage is a word about an executor's places. Unlike the other it is an array.
type leaseMessage struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	From    int
	Message uint8
	Hash    uint32
}

// isLeaseMessage says whether what came is a word about places: an array, where the other is a map.
func isLeaseMessage(b []byte) bool { return len(b) > 0 && b[0]>>5 == 4 }

func encodeLeaseMessage(from policy.NodeID, p node.SendLeaseMessage) ([]byte, error) {
	return encMode.Marshal(leaseMessage{Version: version, From: int(from), Message: uint8(p.Message), Hash: uint32(p.Hash)})
}

func decodeLeaseMessage(b []byte) (node.LeaseMessageReceived, error) {
	var text leaseMessage
	if err := decMode.Unmarshal(b, &text); err != nil {
		return node.LeaseMessageReceived{}, fmt.Errorf("that make no sense")
	}
	switch {
	case text.Version != version:
		return node.LeaseMessageReceived{}, fmt.Errorf("of another version")
	case text.From < 0 || policy.LeaseMessage(text.Message) < policy.LeaseRequest || policy.LeaseMessage(text.Message) > policy.LeaseReturnLate:
		return node.LeaseMessageReceived{}, fmt.Errorf("that make no sense")
	}
	return node.LeaseMessageReceived{From: policy.NodeID(text.From), Message: policy.LeaseMessage(text.Message), Hash: policy.ExecutorHash(text.Hash)}, nil
}
