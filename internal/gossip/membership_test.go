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

	"github.com/rs/zerolog"

	"birchstair/internal/cluster"
	"birchstair/internal/node"
)

// relay carries connections to an address and drops datagrams, all of them.
func relay(t *testing.T, at, to netip.AddrPort) {
	t.Helper()
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)) // read by nobody
	if err != nil {
		t.Fatal(err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
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
			c, err := tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				d, err := net.Dial("tcp", to.String())
				if err != nil {
					return
				}
				defer d.Close()
				go func() {
					_, copied := io.Copy(d, c)
					if err := d.(*net.TCPConn).CloseWrite(); err != nil || copied != nil {
						d.Close()
					}
				}()
				if _, err := io.Copy(c, d); err != nil {
					return
				}
			}()
		}
	}()
}

// deadMessage is memberlist's datagram by which one node announces that another is dead: its kind, and a map of three fields.
func deadMessage(name, from string) []byte {
	text := func(s string) []byte { return append([]byte{0xa0 | byte(len(s))}, s...) }
	return slices.Concat([]byte{5, 0x83}, text("Incarnation"), []byte{7}, text("Node"), text(name), text("From"), text(from))
}

// A node that is alive and receives no datagrams is taken for dead by its peer, and never notified. It takes the peer for alive, so it joins nobody: it comes
// back because it goes on sending messages. Exchanges with random peers, which would bring it back some time, are off.
func TestTakenForDeadComesBack(t *testing.T) {
	there, here, link := netip.MustParseAddrPort("127.77.2.1:7951"), netip.MustParseAddrPort("127.77.2.2:7951"), netip.MustParseAddrPort("127.77.2.3:7951")
	relay(t, link, here)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	member := func(o Options, tell func(node.Event)) *Membership {
		m := New(o, tell, zerolog.Nop())
		m.pushPullInterval = 0
		wait.Go(func() { m.Run(ctx) })
		return m
	}
	seeds := []netip.AddrPort{there}
	alive := make(chan bool, 64) // whether the node is alive, by its neighbour
	member(Options{Name: "neighbour", Listen: there, Advertise: there, Seeds: seeds}, func(ev node.Event) {
		if n, is := ev.(node.AliveNodesChanged); is {
			alive <- slices.Contains(n.Alive, "node")
		}
	})
	n := member(Options{Name: "node", Node: 1, Listen: here, Advertise: link, Seeds: seeds}, func(node.Event) {})
	again := time.NewTicker(50 * time.Millisecond)
	defer again.Stop()
	limit := time.After(20 * time.Second)
	seq := uint64(0)
	until := func(want bool, what string, each func()) {
		t.Helper()
		for {
			select {
			case is := <-alive:
				if is == want {
					return
				}
			case <-again.C:
				each()
			case <-limit:
				t.Fatal(what)
			}
		}
	}
	until(true, "the nodes did not meet", func() {})
	c, err := net.Dial("udp", there.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	until(false, "the neighbour did not take the node for dead", func() {
		if _, err := c.Write(deadMessage("node", "neighbour")); err != nil {
			t.Error(err)
		}
	})
	until(true, "the node sends messages and stays taken for dead", func() {
		seq++
		n.SendGossip(cluster.Envelope{To: "neighbour", Message: cluster.Message{From: "node", Incarnation: 1, Seq: seq}})
	})
}
