package gossip

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/golden"
	"birchstair/internal/node"
	"birchstair/policy"
)

// The bytes of every kind of message, with every field set, are pinned in a golden file. Decoding and encoding them
// again gives the same bytes.
func TestWire(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		title   string
		message cluster.Message
	}{
		{"no field set", cluster.Message{}},
		{"every field set", cluster.Message{From: "n7", Incarnation: 12, Seq: 3, Rates: cluster.Rates{
			Offered: map[int]float64{38: 1.5, 34: 0.25}, Completed: 2, Expired: 0.5, Waiting: 0.125, Admitted: 3, Migrations: 0.75},
			Drains: []cluster.Drain{{Executor: "e1", ExecutorStart: 1764600000123, Age: 1500 * time.Millisecond}, {Executor: "e2"}}}},
	} {
		b, err := encodeGossip(c.message)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "gossip, %s: %x\n", c.title, b)
		got, err := decodeGossip(b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := encodeGossip(got)
		if err != nil || !bytes.Equal(again, b) {
			t.Errorf("%s: %x was read and written again as %x, %v", c.title, b, again, err)
		}
	}
	for kind := policy.LeaseRequest; kind <= policy.LeaseReturnDelayed; kind++ {
		b, err := encodeLeaseMessage(5, node.SendLeaseMessage{To: 3, Message: kind, Hash: 0xfffffff0})
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "lease message %d: %x\n", kind, b)
		got, err := decodeLeaseMessage(b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := encodeLeaseMessage(got.From, node.SendLeaseMessage{Message: got.Message, Hash: got.Hash})
		if err != nil || !bytes.Equal(again, b) {
			t.Errorf("lease message %d: %x was read and written again as %x, %v", kind, b, again, err)
		}
	}
	for _, c := range []struct {
		title string
		bytes []byte
	}{
		{"empty", nil},
		{"too long", bytes.Repeat([]byte{0}, 1301)},
		{"no CBOR", []byte{0xff}},
		{"no version", []byte{0xa0}},
		{"a newer version", []byte{0xa1, 0x00, 0x02}},
		{"a key twice", []byte{0xa2, 0x00, 0x01, 0x00, 0x01}},
		{"an age under 0", []byte{0xa2, 0x00, 0x01, 0x07, 0x81, 0x83, 0x61, 'e', 0x00, 0x20}},
		{"an unknown key", []byte{0xa2, 0x00, 0x01, 0x18, 0x63, 0x01}},
		{"a lease message cut", []byte{0x84, 0x01}},
		{"a lease message too short", []byte{0x82, 0x01, 0x01}},
		{"a lease message of another version", []byte{0x84, 0x02, 0x05, 0x01, 0x00}},
		{"a lease message from under 0", []byte{0x84, 0x01, 0x20, 0x01, 0x00}},
		{"a lease message of no kind", []byte{0x84, 0x01, 0x05, 0x00, 0x00}},
	} {
		var err error
		if isLeaseMessage(c.bytes) {
			_, err = decodeLeaseMessage(c.bytes)
		} else {
			_, err = decodeGossip(c.bytes)
		}
		fmt.Fprintf(&out, "read, %s: %v\n", c.title, err)
	}
	golden.Compare(t, "wire.txt", out.String())
}
