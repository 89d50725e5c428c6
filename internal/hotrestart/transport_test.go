package hotrestart

import (
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"birchstair/internal/node"
)

// process stands for a process of a node. It has a transport and the events that the transport reported.
type process struct {
	*Transport
	events chan node.Event
}

func newProcess(t *testing.T, dir string) *process {
	t.Helper()
	p := &process{events: make(chan node.Event, 100)}
	p.Transport = New(dir, func(ev node.Event) { p.events <- ev })
	t.Cleanup(p.Close)
	return p
}

func (p *process) expect(t *testing.T, want node.Event) {
	t.Helper()
	select {
	case got := <-p.events:
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %#v, want %#v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no event, want %#v", want)
	}
}

func dial(t *testing.T, dir string) net.Conn {
	t.Helper()
	conn, err := Dial(dir)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestLinks connects a successor to a predecessor, exchanges messages, and closes the links one after the other. It does so in a
// directory with a short path, and in one whose path is too long for a socket.
func TestLinks(t *testing.T) {
	for name, dir := range map[string]string{"short path": t.TempDir(), "long path": filepath.Join(t.TempDir(), strings.Repeat("d", 120))} {
		t.Run(name, func(t *testing.T) {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			predecessor, successor := newProcess(t, dir), newProcess(t, dir)
			if _, err := Dial(dir); err == nil {
				t.Fatal("Dial succeeded without a socket")
			}
			predecessor.AcceptConnections(true)
			successor.Start(dial(t, dir))
			successor.expect(t, node.HandoffLinkUp{Link: node.Predecessor})
			predecessor.expect(t, node.HandoffLinkUp{Link: firstSuccessorLink})

			message := node.HandoffMessage{Kind: node.SuccessorReady}
			successor.Send(node.Predecessor, message)
			predecessor.expect(t, node.HandoffReceived{Link: firstSuccessorLink, Message: message})
			message = node.HandoffMessage{Kind: node.RelayDone, Seq: 7}
			predecessor.Send(firstSuccessorLink, message)
			successor.expect(t, node.HandoffReceived{Link: node.Predecessor, Message: message})

			successor.AcceptConnections(true) // from now on, the socket belongs to the successor
			third := newProcess(t, dir)
			third.Start(dial(t, dir))
			third.expect(t, node.HandoffLinkUp{Link: node.Predecessor})
			successor.expect(t, node.HandoffLinkUp{Link: firstSuccessorLink})

			predecessor.CloseLink(firstSuccessorLink)
			successor.expect(t, node.HandoffLinkDown{Link: node.Predecessor, Detail: detailLinkClosed})
			third.Close()
			successor.expect(t, node.HandoffLinkDown{Link: firstSuccessorLink, Detail: detailLinkClosed})
		})
	}
}

// TestMaxLinks checks that a process closes the connections of further successors once it has maxLinks links.
func TestMaxLinks(t *testing.T) {
	dir := t.TempDir()
	p := newProcess(t, dir)
	p.AcceptConnections(true)
	for i := range maxLinks {
		conn := dial(t, dir)
		t.Cleanup(func() { conn.Close() })
		p.expect(t, node.HandoffLinkUp{Link: firstSuccessorLink + node.HandoffLink(i)})
	}
	conn := dial(t, dir)
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("a link beyond maxLinks stays open: %v", err)
	}
}

// TestMalformedMessage checks that decode rejects malformed messages, and that a process closes a link on which it receives one.
func TestMalformedMessage(t *testing.T) {
	for _, line := range []string{"{", `{"Version":2,"Kind":"ready"}`, `{"Version":1,"Kind":"later"}`, `{"Version":1,"Kind":"state"}`,
		`{"Version":1,"Kind":"order","Order":"later"}`, `{"Version":1,"Kind":"order"}`} {
		if _, err := decode([]byte(line)); err == nil {
			t.Errorf("decode(%s) succeeded, want an error", line)
		}
	}
	dir := t.TempDir()
	p := newProcess(t, dir)
	p.AcceptConnections(true)
	conn := dial(t, dir)
	defer conn.Close()
	p.expect(t, node.HandoffLinkUp{Link: firstSuccessorLink})
	if _, err := conn.Write([]byte("{}\n")); err != nil {
		t.Fatal(err)
	}
	_, err := decode([]byte("{}"))
	p.expect(t, node.HandoffLinkDown{Link: firstSuccessorLink, Detail: err.Error()})
}
