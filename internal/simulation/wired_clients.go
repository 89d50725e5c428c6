package simulation

import (
	"bufio"
	"context"
	"errors"
	"os"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/invariants"
)

// submit hands a try in at its node and waits for what comes.
func (v *wiredWorld) submit(t *clientRequest) {
	l, work := t.node.process, t.work
	from := "clients-" + v.world.scenario.Fleet.Zones[t.clients.zone]
	v.setZone(from, t.clients.zone)
	v.requests[t.job] = t
	m := platform.Message{Job: t.job, Track: v.world.scenario.Tracks[work.Track].Name, Tag: v.world.idempotencyKey(work), Work: time.Duration(work.Hint * 1e9), Body: v.world.requestBody()}
	go func() {
		how, comeBack := v.call(from, l.addr, m, t)
		v.update(func() {
			if how == emulator.EndBrokenOff && work.Leaves <= v.world.now {
				v.world.result.Left++
				v.recordClientGone(t, from, l.host)
			}
			t.finishUnsent(how, comeBack)
		})
	}()
}

// recordClientGone books that a client's connection has ended: when that arrives at its node's machine, which may be cut off from it. Before, no
// look there could find it.
func (v *wiredWorld) recordClientGone(t *clientRequest, from, host string) {
	if p := v.path(from, host); !p.Lost {
		v.world.after(p.Hold+p.Delay, func() { v.world.observe(invariants.Seen{What: invariants.Went, Node: t.node.id, Job: t.job}) })
	}
}

// call is a client's call.
func (v *wiredWorld) call(from, addr string, m platform.Message, t *clientRequest) (emulator.End, time.Duration) {
	work := t.work
	until := v.start.Add(min(work.Leaves, work.Limit+slack+time.Millisecond))
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	c, err := v.net.Dial(ctx, from, string(m.Job), addr)
	if err != nil {
		return emulator.EndUnreached, 0
	}
	defer c.Close()
	if m.Budget = (work.Limit - time.Since(v.start)).Truncate(time.Millisecond); m.Budget <= 0 {
		return emulator.EndBrokenOff, 0
	}
	v.update(func() { t.conn = c })
	c.SetDeadline(until)
	if _, err := c.Write(m.Append(nil)); err != nil {
		return emulator.EndLost, 0
	}
	f, err := platform.ReadFinal(bufio.NewReader(c))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return emulator.EndBrokenOff, 0
	case err != nil:
		return emulator.EndLost, 0
	case f.How == emulator.EndHandled && !platform.IsHandled(f, string(work.ID)):
		v.update(func() { v.world.result.Wrong++ })
	case f.How == emulator.EndBrokenOff && f.Status < 500:
		v.update(func() { v.world.result.Wrong++ }) // a node that finds fault with a sound message
	}
	return f.How, f.ComeBack
}
