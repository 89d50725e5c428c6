package scaletest

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/policy"
)

// load hands batch jobs in by schedule: each at its time, whether or not earlier ones have been answered, dealt out among the nodes in turn.
type load struct {
	nodes   []*proc
	rate    float64
	classes []class
	due     int // handed in by now
	waits   sync.WaitGroup

	mu   sync.Mutex
	pool map[*proc][]net.Conn
	outcome
}

// outcome is what came of a load.
type outcome struct {
	answered int
	handled  int
	late     int // handed in over lateBy after they were due
	wrong    []string
	took     []time.Duration // from when each was due to its answer
}

const (
	lateBy = 20 * time.Millisecond
	budget = 20 * time.Second // that clients wait
)

func newLoad(nodes []*proc, pt Point) *load {
	return &load{nodes: nodes, rate: pt.Rate, classes: classes(pt.Rungs), pool: map[*proc][]net.Conn{}}
}

// begin gives what has come of it so far, and forgets how long answers took.
func (l *load) begin() outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.took = nil
	return l.outcome
}

// start hands in for so long, and says how many were due.
func (l *load) start(name string, length time.Duration) (due int) {
	began := time.Now()
	for at := began; at.Sub(began) < length; at = began.Add(time.Duration(float64(due) / l.rate * 1e9)) {
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		p, c, id := l.nodes[l.due%len(l.nodes)], l.classes[l.due%len(l.classes)], fmt.Sprintf("%s-%d", name, due)
		l.waits.Go(func() { l.one(p, c.name, id, at) })
		due++
		l.due++
	}
	return due
}

// wait waits for all answers.
func (l *load) wait() {
	l.waits.Wait()
	for _, conns := range l.pool {
		for _, c := range conns {
			c.Close()
		}
	}
}

func (l *load) one(p *proc, class, id string, at time.Time) {
	late := time.Since(at) > lateBy
	f, err := l.call(p, class, id)
	took := time.Since(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.took = append(l.took, took)
	if late {
		l.late++
	}
	switch {
	case err != nil:
		l.wrong = append(l.wrong, fmt.Sprintf("%s: no whole answer: %v", id, err))
	case f.How == emulator.EndHandled && !platform.IsHandled(f, id):
		l.wrong = append(l.wrong, fmt.Sprintf("%s was answered with what no executor made for it", id))
	default:
		l.answered++
		if f.How == emulator.EndHandled {
			l.handled++
		}
	}
}

func (l *load) call(p *proc, class, id string) (platform.Final, error) {
	m := platform.Message{Job: policy.JobID(id), Track: class, Budget: budget, Body: []byte("task")}
	for {
		c, reused, err := l.connect(p)
		if err != nil {
			return platform.Final{}, err
		}
		c.SetDeadline(time.Now().Add(budget + time.Second))
		in := bufio.NewReader(c)
		if _, err = c.Write(m.Append(nil)); err == nil {
			_, err = in.Peek(1)
		}
		if err != nil {
			c.Close()
			if reused {
				continue // it was closed while it rested: once more on another
			}
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

// connect takes a connection that rests, or dials.
func (l *load) connect(p *proc) (c net.Conn, reused bool, err error) {
	l.mu.Lock()
	if n := len(l.pool[p]); n > 0 {
		c, l.pool[p] = l.pool[p][n-1], l.pool[p][:n-1]
	}
	l.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	c, err = net.DialTimeout("tcp", p.listen, 5*time.Second)
	return c, false, err
}

// within is the time that such a part of the answers came within.
func (l *load) within(part float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.took) == 0 {
		return 0
	}
	slices.Sort(l.took)
	return l.took[min(len(l.took)-1, int(part*float64(len(l.took))))]
}
