package gossip

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
)

// Two nodes join and exchange messages, and one counts its traffic with the peer that Counts selects.
func TestTraffic(t *testing.T) {
	there := netip.MustParseAddrPort("127.77.1.1:7951")
	var all, none Traffic
	all.Counts = func(a netip.Addr) bool { return a == there.Addr() }
	none.Counts = func(netip.Addr) bool { return false }
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	heard := make(chan node.GossipReceived, 1)
	member := func(name cluster.NodeName, number int, listen netip.AddrPort, traffic *Traffic, tell func(node.Event)) *Membership {
		m := New(Options{Name: name, Listen: listen, Advertise: listen, Seeds: []netip.AddrPort{there}, Traffic: traffic}, tell, zerolog.Nop())
		wait.Go(func() { m.Run(ctx) })
		return m
	}
	member("b", 1, there, &none, func(ev node.Event) {
		if h, is := ev.(node.GossipReceived); is {
			select {
			case heard <- h:
			default:
			}
		}
	})
	a := member("a", 0, netip.MustParseAddrPort("127.77.1.2:7951"), &all, func(node.Event) {})
	again := time.NewTicker(50 * time.Millisecond)
	defer again.Stop()
	limit := time.After(20 * time.Second)
	for came := false; !came; {
		select {
		case <-again.C:
			a.SendGossip(cluster.Envelope{To: "b", Message: cluster.Message{From: "a", Incarnation: 1, Seq: 1}})
		case h := <-heard:
			came = h.Message.From == "a"
		case <-limit:
			t.Fatal("no message came")
		}
	}
	cancel()
	wait.Wait()
	if all.PacketsOut.Load() == 0 || all.StreamsOut.Load() == 0 || all.BytesOut.Load() == 0 || all.BytesIn.Load() == 0 {
		t.Errorf("packets out %d, streams out %d, bytes out %d, in %d", all.PacketsOut.Load(), all.StreamsOut.Load(), all.BytesOut.Load(), all.BytesIn.Load())
	}
	if none.PacketsIn.Load() != 0 || none.BytesIn.Load() != 0 || none.BytesOut.Load() != 0 {
		t.Error("what nobody asked about was counted")
	}
}
