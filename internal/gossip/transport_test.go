package gossip

import (
	"net"
	"net/netip"
	"testing"
	"testing/synctest"

	"birchstair/internal/synctesting"
)

// Hosts open many connections and send nothing: maxStreams are accepted, and a further one once one of them is closed.
func TestStreamsBounded(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		come := make(chan net.Conn, 2*maxStreams)
		tr := &transport{accepted: come, streams: make(chan net.Conn), closing: make(chan struct{}), closed: make(chan struct{})}
		go tr.limitStreams()
		for range 2 * maxStreams {
			c, _ := net.Pipe()
			come <- c
		}
		var taken []net.Conn
		takes := func() {
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
			if takes(); len(taken) != want {
				t.Errorf("%d were taken, want %d", len(taken), want)
			}
			taken[0].Close() // the second time it frees no slot
		}
		close(tr.closing)
		close(tr.closed)
	})
}

// Shutdown doesn't wait for connections that nobody takes.
func TestStreamsAtTheEnd(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.77.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := free.Addr().String()
	free.Close()
	tr, err := newTransport(netip.MustParseAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		c, err := net.Dial("tcp", at)
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
