package simulation

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/memnet"
)

// executorSocket is a connection at an executor's end.
type executorSocket struct {
	conn     *memnet.Conn
	response platform.Answer
}

func (x *executor) host() string { return fmt.Sprintf("%s#%d", x.ID, x.incarnation) }

// startExecutor lets an executor take connections.
func (v *wiredWorld) startExecutor(x *executor) {
	x.incarnation++
	x.sockets = map[emulator.ConnID]*executorSocket{}
	v.setZone(x.host(), x.Zone)
	v.setZone(x.addr, x.Zone)
	v.setUnreachable(x.addr, false)
	l, err := v.net.Listen(x.host(), x.addr)
	if err != nil {
		panic(err) // the last life's listener went with it
	}
	lives := x.incarnation
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serveExecutor(x, lives, c.(*memnet.Conn))
		}
	}()
}

// endExecutor ends its process, or, silently, its machine.
func (v *wiredWorld) endExecutor(x *executor, silently bool) {
	if silently {
		v.setUnreachable(x.addr, true)
	}
	host := x.host()
	x.sockets = map[emulator.ConnID]*executorSocket{}
	v.net.Kill(host, silently)
}

// serveExecutor reads allocations from a connection until it ends.
func (v *wiredWorld) serveExecutor(x *executor, lives int, c *memnet.Conn) {
	defer c.Close()
	var key emulator.ConnID
	taken := false
	v.update(func() {
		if x.incarnation != lives {
			return
		}
		v.world.lastConnID++
		key = v.world.lastConnID
		ok, outs := x.Open(v.world.now, key)
		if taken = ok; ok {
			x.sockets[key] = &executorSocket{conn: c}
		}
		x.apply(outs)
	})
	if !taken {
		return
	}
	r := bufio.NewReader(c)
	for {
		m, err := platform.ReadAllocation(r)
		v.update(func() {
			if x.incarnation != lives || x.sockets[key] == nil {
				err = net.ErrClosed
				return
			}
			if err != nil {
				delete(x.sockets, key)
				x.apply(x.Hangup(v.world.now, key))
				return
			}
			c.SetReadDeadline(time.Time{})
			if t := v.requests[m.Job]; t != nil {
				x.apply(x.Take(v.world.now, v.world.newAttempt(t, t.node.id, key, x)))
			}
		})
		if err != nil {
			return
		}
	}
}

// answerAttempt writes an executor's word.
func (v *wiredWorld) answerAttempt(x *executor, o emulator.Say) {
	s, t := x.sockets[o.Conn], v.requests[o.Job]
	if s == nil || t == nil {
		return
	}
	b, ended := s.response.Append(nil, o, x.ID, platform.Result(string(t.work.ID)))
	s.conn.Write(b) //nolint:errcheck // a broken connection is seen by its reader, which books it
	if o.Word == emulator.Began && v.world.now-t.sentAt > queuedStart {
		v.world.result.StartsWaited++
	}
	if ended {
		s.conn.SetReadDeadline(time.Now().Add(time.Duration(v.world.scenario.Fleet.IdleLimit)))
	}
}
