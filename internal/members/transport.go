package members

import (
	"io"
	stdlog "log"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

// transport is memberlist's own, but for the address that its connections come from: that of its listener, so that a neighbour, and what stands between, can
// tell who calls.
type transport struct {
	*memberlist.NetTransport
	from netip.Addr
}

func newTransport(listen netip.AddrPort) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{listen.Addr().String()}, BindPort: int(listen.Port()),
		Logger: stdlog.New(io.Discard, "", 0)})
	if err != nil {
		return nil, err
	}
	return &transport{NetTransport: t, from: listen.Addr()}, nil
}

// DialTimeout opens a connection to a neighbour.
func (t *transport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: t.from.AsSlice()}}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout opens a connection to a neighbour, named as memberlist names it.
func (t *transport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, limit)
}

// logger hands memberlist's warnings to the node's log.
func (t *transport) logger(log zerolog.Logger) *stdlog.Logger {
	return stdlog.New(lines{log}, "", 0)
}

type lines struct{ log zerolog.Logger }

func (l lines) Write(b []byte) (int, error) {
	if text := strings.TrimSpace(string(b)); worthALine(text) {
		l.log.Warn().Msg(text)
	}
	return len(b), nil
}
