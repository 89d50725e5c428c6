package gossip

import (
	"net"
	"net/netip"
	"testing"
	"testing/synctest"

	"birchstair/internal/synctesting"
)

// Hosts that open many connections and send nothing get only maxStreams of them through. Another one gets through when
// one is closed.
func TestStreamsBounded(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		accepted := make(chan net.Conn, 2*maxStreams)
		tr := &transport{accepted: accepted, streams: make(chan net.Conn), closing: make(chan struct{}), closed: make(chan struct{})}
		go tr.limitStreams()
		for range 2 * maxStreams {
			c, _ := net.Pipe()
			accepted <- c
		}
		var taken []net.Conn
		takeAll := func() {
			for {
				synctest.Wait()
				select {
				case c := <-tr.StreamCh():
					taken = append(taken, c)
					continue
				default:
				}
				return
			}
		}
		for _, want := range []int{maxStreams, maxStreams + 1, maxStreams + 1} {
			if takeAll(); len(taken) != want {
				t.Errorf("%d connections got through, want %d", len(taken), want)
			}
			taken[0].Close() // closing it a second time must not free another slot
		}
		close(tr.closing)
		close(tr.closed)
	})
}

// Shutdown doesn't wait for accepted connections that are never taken from StreamCh.
func TestShutdownWithStreamsLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.77.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	tr, err := newTransport(netip.MustParseAddrPort(addr))
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	(<-tr.StreamCh()).Close()
	if err := tr.Shutdown(); err != nil {
		t.Error(err)
	}
}
