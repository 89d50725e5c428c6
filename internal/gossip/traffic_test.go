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

// Two nodes join and exchange messages. One counts its traffic with the other; the other selects no peer and counts
// nothing.
func TestTraffic(t *testing.T) {
	peerAddr := netip.MustParseAddrPort("127.77.1.1:7951")
	var all, none Traffic
	all.Counts = func(a netip.Addr) bool { return a == peerAddr.Addr() }
	none.Counts = func(netip.Addr) bool { return false }
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	received := make(chan node.GossipReceived, 1)
	startMember := func(name cluster.NodeName, number int, listen netip.AddrPort, traffic *Traffic, post func(node.Event)) *Membership {
		m := New(Options{Name: name, Listen: listen, Advertise: listen, Seeds: []netip.AddrPort{peerAddr}, Traffic: traffic}, post, zerolog.Nop())
		wait.Go(func() { m.Run(ctx) })
		return m
	}
	startMember("b", 1, peerAddr, &none, func(ev node.Event) {
		if message, ok := ev.(node.GossipReceived); ok {
			select {
			case received <- message:
			default:
			}
		}
	})
	a := startMember("a", 0, netip.MustParseAddrPort("127.77.1.2:7951"), &all, func(node.Event) {})
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(20 * time.Second)
	for arrived := false; !arrived; {
		select {
		case <-ticker.C:
			a.SendGossip(cluster.Envelope{To: "b", Message: cluster.Message{From: "a", Incarnation: 1, Seq: 1}})
		case message := <-received:
			arrived = message.Message.From == "a"
		case <-timeout:
			t.Fatal("no message arrived within 20 s")
		}
	}
	cancel()
	wait.Wait()
	if all.PacketsOut.Load() == 0 || all.StreamsOut.Load() == 0 || all.BytesOut.Load() == 0 || all.BytesIn.Load() == 0 {
		t.Errorf("packets out %d, streams out %d, bytes out %d, in %d", all.PacketsOut.Load(), all.StreamsOut.Load(), all.BytesOut.Load(), all.BytesIn.Load())
	}
	if none.PacketsIn.Load() != 0 || none.BytesIn.Load() != 0 || none.BytesOut.Load() != 0 {
		t.Error("traffic was counted with a peer that Counts does not select")
	}
}
