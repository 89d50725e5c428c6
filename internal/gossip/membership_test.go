package gossip

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
)

// relay accepts TCP connections on listen and forwards them to target. It drops all datagrams sent to listen.
func relay(t *testing.T, listen, target netip.AddrPort) {
	t.Helper()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)) // never read: datagrams are dropped
	if err != nil {
		t.Fatal(err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		t.Fatal(err)
	}
	for _, socket := range []io.Closer{udp, tcp} {
		t.Cleanup(func() {
			if err := socket.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	go func() {
		for {
			client, err := tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.Dial("tcp", target.String())
				if err != nil {
					return
				}
				defer server.Close()
				go func() {
					_, copied := io.Copy(server, client)
					if err := server.(*net.TCPConn).CloseWrite(); err != nil || copied != nil {
						server.Close()
					}
				}()
				if _, err := io.Copy(client, server); err != nil {
					return
				}
			}()
		}
	}()
}

// deadMessage returns memberlist's datagram by which a node announces that another one is dead. It consists of a byte
// for the kind of message and a map of three fields.
func deadMessage(name, from string) []byte {
	text := func(s string) []byte { return append([]byte{0xa0 | byte(len(s))}, s...) }
	return slices.Concat([]byte{5, 0x83}, text("Incarnation"), []byte{7}, text("Node"), text(name), text("From"), text(from))
}

// A living node that receives no datagrams is considered dead by its peer and is not notified of it. The node takes the
// peer for alive, so it does not join it again: it must come back because the peer still receives its messages.
// Exchanges with random peers, which would bring it back at some time, are off.
func TestNodeTakenForDeadRejoins(t *testing.T) {
	peerAddr, nodeAddr, relayAddr := netip.MustParseAddrPort("127.77.2.1:7951"), netip.MustParseAddrPort("127.77.2.2:7951"), netip.MustParseAddrPort("127.77.2.3:7951")
	relay(t, relayAddr, nodeAddr)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	startMember := func(options Options, post func(node.Event)) *Membership {
		m := New(options, post, zerolog.Nop())
		m.pushPullInterval = 0
		wait.Go(func() { m.Run(ctx) })
		return m
	}
	seeds := []netip.AddrPort{peerAddr}
	alive := make(chan bool, 64) // whether the peer considers the node alive
	startMember(Options{Name: "peer", Listen: peerAddr, Advertise: peerAddr, Seeds: seeds}, func(ev node.Event) {
		if changed, ok := ev.(node.AliveNodesChanged); ok {
			alive <- slices.Contains(changed.Alive, "node")
		}
	})
	n := startMember(Options{Name: "node", Node: 1, Listen: nodeAddr, Advertise: relayAddr, Seeds: seeds}, func(node.Event) {})
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(20 * time.Second)
	seq := uint64(0)
	waitForAlive := func(want bool, failure string, onTick func()) {
		t.Helper()
		for {
			select {
			case isAlive := <-alive:
				if isAlive == want {
					return
				}
			case <-ticker.C:
				onTick()
			case <-timeout:
				t.Fatal(failure)
			}
		}
	}
	waitForAlive(true, "the nodes did not find each other", func() {})
	c, err := net.Dial("udp", peerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitForAlive(false, "the peer did not consider the node dead", func() {
		if _, err := c.Write(deadMessage("node", "peer")); err != nil {
			t.Error(err)
		}
	})
	waitForAlive(true, "the node sends messages, but the peer still considers it dead", func() {
		seq++
		n.SendGossip(cluster.Envelope{To: "peer", Message: cluster.Message{From: "node", Incarnation: 1, Seq: seq}})
	})
}

// TestPeersAreCopied guards against a data race, which can also send a message to an address that never was the peer's: memberlist goes on
// changing a node under a lock of its own after it has reported the node, while this package reads the address to join or to send. Here
// memberlist changes the address right after the report; what this package uses changes with the next report only.
func TestPeersAreCopied(t *testing.T) {
	m := New(Options{Name: "me"}, func(node.Event) {}, zerolog.Nop())
	reported := &memberlist.Node{Name: "peer", Addr: net.IPv4(127, 0, 0, 1), Port: 7001, Meta: []byte("#1")}
	m.NotifyJoin(reported)
	var changes sync.WaitGroup
	changes.Go(func() { reported.Addr, reported.Port = net.IPv4(127, 0, 0, 2), 7002 })
	for _, key := range []string{"peer", "#1"} {
		if peer := m.peer(key); peer == nil || peer.Address() != "127.0.0.1:7001" {
			t.Errorf("peer %s: %v, want it at 127.0.0.1:7001", key, peer)
		}
	}
	if addrs := m.aliveAddrs(); len(addrs) != 1 || !addrs["127.0.0.1:7001"] {
		t.Errorf("addresses of living nodes: %v, want 127.0.0.1:7001", addrs)
	}
	changes.Wait()
	m.NotifyJoin(reported)
	if addrs := m.aliveAddrs(); len(addrs) != 1 || !addrs["127.0.0.2:7002"] {
		t.Errorf("addresses of living nodes after the next report: %v, want 127.0.0.2:7002", addrs)
	}
}
