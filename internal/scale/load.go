package scale

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"birchstair/internal/standin"
	"birchstair/internal/standin/platform"
	"birchstair/policy"
)

// load hands batch jobs in by schedule: each at its time, whether or not earlier ones have been answered.
type load struct {
	mu      sync.Mutex
	pool    map[*proc][]net.Conn
	answers map[string]int // by how they ended
	wrong   []string
	took    []time.Duration // from when each was due to its answer
	late    int             // handed in over lateBy after they were due
	waits   sync.WaitGroup
}

// lateBy is how late a batch job may go out and still count as by schedule.
const lateBy = 20 * time.Millisecond

// run hands in rate batch jobs a second, dealt out among the nodes in turn, and waits for all answers.
func (l *load) run(nodes []*proc, rate float64, length time.Duration, name string) (due int) {
	l.pool, l.answers = map[*proc][]net.Conn{}, map[string]int{}
	began := time.Now()
	due = int(rate * length.Seconds())
	for i := range due {
		at := began.Add(time.Duration(float64(i) / rate * 1e9))
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		l.waits.Go(func() { l.one(nodes[i%len(nodes)], fmt.Sprintf("%s-%d", name, i), at) })
	}
	l.waits.Wait()
	for _, conns := range l.pool {
		for _, c := range conns {
			c.Close()
		}
	}
	return due
}

func (l *load) one(p *proc, id string, at time.Time) {
	started := time.Now()
	f, err := l.call(p, id)
	took := time.Since(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.took = append(l.took, took)
	if started.Sub(at) > lateBy {
		l.late++
	}
	switch {
	case err != nil:
		l.answers["lost"]++
		l.wrong = append(l.wrong, fmt.Sprintf("%s: no whole answer: %v", id, err))
	case f.How == standin.EndHandled && !platform.IsHandled(f, id):
		l.wrong = append(l.wrong, fmt.Sprintf("%s was answered with what no executor made for it", id))
	default:
		l.answers[map[standin.End]string{standin.EndHandled: "handled", standin.EndPushedBack: "rejected", standin.EndBrokenOff: "failed"}[f.How]]++
	}
}

const budget = 5 * time.Second

func (l *load) call(p *proc, id string) (platform.Final, error) {
	m := platform.Message{Job: policy.JobID(id), Track: "batch", Budget: budget, Work: 2 * time.Millisecond, Body: []byte("task")}
	for {
		l.mu.Lock()
		var c net.Conn
		if n := len(l.pool[p]); n > 0 {
			c, l.pool[p] = l.pool[p][n-1], l.pool[p][:n-1]
		}
		l.mu.Unlock()
		reused := c != nil
		if !reused {
			var err error
			if c, err = net.DialTimeout("tcp", p.listen, time.Second); err != nil {
				return platform.Final{}, err
			}
		}
		c.SetDeadline(time.Now().Add(budget + time.Second))
		in := bufio.NewReader(c)
		_, err := c.Write(m.Append(nil))
		if err == nil {
			if _, err = in.Peek(1); err != nil && reused {
				c.Close() // it was closed while it rested: once more on another
				continue
			}
		}
		if err != nil {
			c.Close()
			return platform.Final{}, err
		}
		f, err := platform.ReadFinal(in)
		if err != nil || f.Last {
			c.Close()
			return f, err
		}
		l.mu.Lock()
		l.pool[p] = append(l.pool[p], c)
		l.mu.Unlock()
		return f, nil
	}
}

// within is the time that such a part of the answers came within.
func (l *load) within(part float64) time.Duration {
	if len(l.took) == 0 {
		return 0
	}
	slices.Sort(l.took)
	return l.took[min(len(l.took)-1, int(part*float64(len(l.took))))]
}
