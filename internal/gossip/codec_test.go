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

// Messages are decoded as they were encoded, in one datagram; drains that don't fit are left out, and ages never shrink.
func TestMessages(t *testing.T) {
	w := cluster.Message{From: "n7", Incarnation: 12, Seq: 3, Rates: cluster.Rates{Offered: map[int]float64{38: 1.5, 34: 0.25}, Admitted: 3, Completed: 2, Expired: 0.5, Waiting: 0.125, Migrations: 0.75},
		Drains: []cluster.Drain{{Executor: "e1", ExecutorStart: 1764600000123, Age: 1500*time.Millisecond + time.Microsecond}}}
	b, err := encodeGossip(w)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeGossip(b)
	if err != nil {
		t.Fatal(err)
	}
	if got.Drains[0].Age < w.Drains[0].Age || got.Drains[0].Age > w.Drains[0].Age+time.Millisecond {
		t.Errorf("an age of %v came as %v", w.Drains[0].Age, got.Drains[0].Age)
	}
	got.Drains[0].Age = w.Drains[0].Age
	if !reflect.DeepEqual(got, w) {
		t.Errorf("%+v came as %+v", w, got)
	}
	for i := range 100 {
		w.Drains = append(w.Drains, cluster.Drain{Executor: policy.ExecutorID(fmt.Sprintf("%0100d", i))})
	}
	if b, err = encodeGossip(w); err != nil || len(b) > maxMessageBytes {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	p := node.SendLeaseMessage{To: 3, Message: policy.LeaseGrant, Hash: 0xfffffff0}
	if b, err = encodeLeaseMessage(5, p); err != nil || !isLeaseMessage(b) {
		t.Fatal(b, err)
	}
	if got, err := decodeLeaseMessage(b); err != nil || got != (node.LeaseMessageReceived{From: 5, Message: policy.LeaseGrant, Hash: 0xfffffff0}) {
		t.Errorf("%+v, %v", got, err)
	}
}

// Whatever is received, nothing panics, and what is decoded is sound once package cluster has checked it.
func FuzzMessage(f *testing.F) {
	for _, w := range []cluster.Message{{}, {From: "a", Incarnation: 1, Seq: 1, Rates: cluster.Rates{Offered: map[int]float64{63: math.MaxFloat32, -1: math.Inf(1)}, Completed: math.NaN()},
		Drains: []cluster.Drain{{Executor: "e", Age: time.Hour}}}} {
		b, err := encodeGossip(w)
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
			if p, err := decodeLeaseMessage(b); err == nil && p.From < 0 {
				t.Errorf("%+v", p)
			}
			return
		}
		w, err := decodeGossip(b)
		if err != nil {
			return
		}
		s := cluster.New(cluster.Defaults("me", 1, 1))
		s.SetAlive([]cluster.NodeName{w.From})
		s.Receive(time.Millisecond, w)
		told, _ := s.Tick(250*time.Millisecond, policy.LoadSummary{})
		for _, to := range told {
			for rung, x := range to.Message.Rates.Offered {
				if math.IsNaN(x) || math.IsInf(x, 0) {
					t.Errorf("rung %d: %v", rung, x)
				}
			}
			again, err := encodeGossip(to.Message)
			if err != nil {
				t.Error(err)
			} else if got, err := decodeGossip(again); err != nil || !maps.Equal(got.Rates.Offered, to.Message.Rates.Offered) {
				t.Errorf("%+v, %v", got, err)
			}
		}
	})
}
