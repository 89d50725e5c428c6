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

// loadGenerator submits batch jobs to the nodes in rotation, at a constant rate. It is an open load: a batch job is
// submitted when it is due, even if earlier ones have no answer yet.
type loadGenerator struct {
	nodes     []*realNode
	rate      float64 // batch jobs per second
	classes   []class
	submitted int // number of batch jobs submitted so far
	requests  sync.WaitGroup

	mu        sync.Mutex
	idleConns map[*realNode][]net.Conn
	outcome
}

// outcome holds the results of a load.
type outcome struct {
	answered      int
	succeeded     int
	submittedLate int // batch jobs that were submitted more than lateTolerance after they were due
	violations    []string
	latencies     []time.Duration // time from when each batch job was due until its answer
}

const (
	lateTolerance = 20 * time.Millisecond
	clientTimeout = 20 * time.Second // time that a client waits for an answer
)

func newLoadGenerator(nodes []*realNode, pt Point) *loadGenerator {
	return &loadGenerator{nodes: nodes, rate: pt.Rate, classes: classes(pt.PriorityLevels), idleConns: map[*realNode][]net.Conn{}}
}

// snapshot returns the outcome so far without the latencies, which it discards.
func (l *loadGenerator) snapshot() outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = nil
	return l.outcome
}

// run submits batch jobs for a duration, and returns their number. Their ids begin with the given name.
func (l *loadGenerator) run(name string, duration time.Duration) (due int) {
	began := time.Now()
	for at := began; at.Sub(began) < duration; at = began.Add(time.Duration(float64(due) / l.rate * 1e9)) {
		if wait := time.Until(at); wait > 0 {
			time.Sleep(wait)
		}
		p, c, id := l.nodes[l.submitted%len(l.nodes)], l.classes[l.submitted%len(l.classes)], fmt.Sprintf("%s-%d", name, due)
		l.requests.Go(func() { l.submit(p, c.name, id, at) })
		due++
		l.submitted++
	}
	return due
}

// wait waits for all answers, and closes the connections.
func (l *loadGenerator) wait() {
	l.requests.Wait()
	for _, conns := range l.idleConns {
		for _, c := range conns {
			c.Close()
		}
	}
}

// submit submits a batch job that is due at a given time, and records its outcome.
func (l *loadGenerator) submit(p *realNode, class, id string, at time.Time) {
	delayed := time.Since(at) > lateTolerance
	f, err := l.send(p, class, id)
	took := time.Since(at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, took)
	if delayed {
		l.submittedLate++
	}
	switch {
	case err != nil:
		l.violations = append(l.violations, fmt.Sprintf("%s: no whole answer: %v", id, err))
	case f.End == emulator.EndSucceeded && !platform.IsSuccess(f, id):
		l.violations = append(l.violations, fmt.Sprintf("%s was answered with what no executor made for it", id))
	default:
		l.answered++
		if f.End == emulator.EndSucceeded {
			l.succeeded++
		}
	}
}

// send sends a batch job and reads its answer. If an idle connection turns out to be closed, it sends the job again on
// another one.
func (l *loadGenerator) send(p *realNode, class, id string) (platform.Final, error) {
	request := platform.Request{Job: policy.JobID(id), Class: class, Budget: clientTimeout, Body: []byte("task")}
	for {
		c, reused, err := l.connect(p)
		if err != nil {
			return platform.Final{}, err
		}
		c.SetDeadline(time.Now().Add(clientTimeout + time.Second))
		in := bufio.NewReader(c)
		if _, err = c.Write(request.Append(nil)); err == nil {
			_, err = in.Peek(1)
		}
		if err != nil {
			c.Close()
			if reused {
				continue // the node closed the idle connection
			}
			return platform.Final{}, err
		}
		f, err := platform.ReadFinal(in)
		if err != nil || f.Closes {
			c.Close()
			return f, err
		}
		l.mu.Lock()
		l.idleConns[p] = append(l.idleConns[p], c)
		l.mu.Unlock()
		return f, nil
	}
}

// connect returns an idle connection to a node, or dials a new one.
func (l *loadGenerator) connect(p *realNode) (c net.Conn, reused bool, err error) {
	l.mu.Lock()
	if n := len(l.idleConns[p]); n > 0 {
		c, l.idleConns[p] = l.idleConns[p][n-1], l.idleConns[p][:n-1]
	}
	l.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	c, err = net.DialTimeout("tcp", p.clientAddress, 5*time.Second)
	return c, false, err
}

// percentile returns the latency that the given fraction of the answers did not exceed, or 0 without answers.
func (l *loadGenerator) percentile(fraction float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.latencies) == 0 {
		return 0
	}
	slices.Sort(l.latencies)
	return l.latencies[min(len(l.latencies)-1, int(fraction*float64(len(l.latencies))))]
}
