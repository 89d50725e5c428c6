package gossip

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"testing"
	"time"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
	"birchstair/policy"
)

// Decoding returns what was encoded, except that ages are rounded up to milliseconds. A message with too many drains
// still fits into one datagram.
func TestMessageRoundTrip(t *testing.T) {
	message := cluster.Message{From: "n7", Incarnation: 12, Seq: 3, Rates: cluster.Rates{Offered: map[int]float64{38: 1.5, 34: 0.25}, Admitted: 3, Completed: 2, Expired: 0.5, Waiting: 0.125, Migrations: 0.75},
		Drains: []cluster.Drain{{Executor: "e1", ExecutorStart: 1764600000123, Age: 1500*time.Millisecond + time.Microsecond}}}
	b, err := encodeGossip(message)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeGossip(b)
	if err != nil {
		t.Fatal(err)
	}
	if got.Drains[0].Age < message.Drains[0].Age || got.Drains[0].Age > message.Drains[0].Age+time.Millisecond {
		t.Errorf("an age of %v was decoded as %v", message.Drains[0].Age, got.Drains[0].Age)
	}
	got.Drains[0].Age = message.Drains[0].Age
	if !reflect.DeepEqual(got, message) {
		t.Errorf("%+v was decoded as %+v", message, got)
	}
	for i := range 100 {
		message.Drains = append(message.Drains, cluster.Drain{Executor: policy.ExecutorID(fmt.Sprintf("%0100d", i))})
	}
	if b, err = encodeGossip(message); err != nil || len(b) > maxMessageBytes {
		t.Errorf("a message with too many drains has %d bytes, error %v; want at most %d bytes", len(b), err, maxMessageBytes)
	}
	leaseMessage := node.SendLeaseMessage{To: 3, Message: policy.LeaseGrant, Hash: 0xfffffff0}
	if b, err = encodeLeaseMessage(5, leaseMessage); err != nil || !isLeaseMessage(b) {
		t.Fatalf("encoded lease message: %x, error %v", b, err)
	}
	if got, err := decodeLeaseMessage(b); err != nil || got != (node.LeaseMessageReceived{From: 5, Message: policy.LeaseGrant, Hash: 0xfffffff0}) {
		t.Errorf("decoded lease message: %+v, error %v", got, err)
	}
}

// TestTextThatPeersCantDecode guards against a node that no peer ever hears, and that shows no error: its name, which can come from
// an environment variable, was not UTF-8, so that peers dropped all of its messages. Such a name is rejected at the start, and no
// message is encoded that its decoder drops.
func TestTextThatPeersCantDecode(t *testing.T) {
	for _, name := range []string{"j\xf5gi", "\xff", "n1\n", "n1\x00"} {
		if _, err := ParseOptions(cluster.NodeName(name), 0, "127.0.0.1:7946", "", nil); err == nil {
			t.Errorf("the name %q is accepted", name)
		}
	}
	if _, err := ParseOptions("jõgi 1", 0, "127.0.0.1:7946", "", nil); err != nil {
		t.Error(err)
	}
	for _, message := range []cluster.Message{
		{From: "j\xf5gi"},
		{From: "n1", Drains: []cluster.Drain{{Executor: "e1"}, {Executor: "e\xff"}}},
	} {
		if b, err := encodeGossip(message); err == nil {
			_, err = decodeGossip(b)
			t.Errorf("%+v: encoded, and decoding returns error %v", message, err)
		}
	}
}

// No received message makes the decoder or package cluster panic, and the node's own messages stay finite and decodable
// after it.
func FuzzMessage(f *testing.F) {
	for _, message := range []cluster.Message{{}, {From: "a", Incarnation: 1, Seq: 1, Rates: cluster.Rates{Offered: map[int]float64{63: math.MaxFloat32, -1: math.Inf(1)}, Completed: math.NaN()},
		Drains: []cluster.Drain{{Executor: "e", Age: time.Hour}}}} {
		b, err := encodeGossip(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	b, _ := encodeLeaseMessage(1, node.SendLeaseMessage{Message: policy.LeaseRequest})
	f.Add(b)
	f.Add([]byte{0xa1, 0x00, 0x02})
	f.Fuzz(func(t *testing.T, b []byte) {
		if isLeaseMessage(b) {
			if received, err := decodeLeaseMessage(b); err == nil && received.From < 0 {
				t.Errorf("negative sender: %+v", received)
			}
			return
		}
		message, err := decodeGossip(b)
		if err != nil {
			return
		}
		state := cluster.New(cluster.Defaults("me", 1, 1))
		state.SetAlive([]cluster.NodeName{message.From})
		state.Receive(time.Millisecond, message)
		sent, _ := state.Tick(250*time.Millisecond, policy.LoadSummary{})
		for _, envelope := range sent {
			for level, rate := range envelope.Message.Rates.Offered {
				if math.IsNaN(rate) || math.IsInf(rate, 0) {
					t.Errorf("rate of priority level %d: %v", level, rate)
				}
			}
			again, err := encodeGossip(envelope.Message)
			if err != nil {
				t.Error(err)
			} else if got, err := decodeGossip(again); err != nil || !maps.Equal(got.Rates.Offered, envelope.Message.Rates.Offered) {
				t.Errorf("own message %+v was decoded as %+v, error %v", envelope.Message, got, err)
			}
		}
	})
}
