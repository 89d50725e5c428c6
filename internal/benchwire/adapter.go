package benchwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"birchstair/policy"
)

// Bounds of a line in bytes: batches may be megabytes long, and a list's entries are lines of their own.
const (
	lineBuffer   = 1 << 20
	maxLineBytes = 1 << 28
)

// adapter is the state of one connection to the simulator.
type adapter struct {
	input     *bufio.Scanner
	line      int           // the number of the last line read, from 1
	now       time.Duration // the batch's clock
	instances map[string]*instance
	active    []*instance // those with an event in this batch, in the order of their first one
	fields    fields      // of the last line read
	endpoints []policy.Endpoint
}

// Run answers batches until the input ends. Its errors name the line at fault.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{input: bufio.NewScanner(in), instances: map[string]*instance{}}
	a.input.Buffer(make([]byte, lineBuffer), maxLineBytes)
	var reply bytes.Buffer
	inBatch := false
	for a.scan() {
		name, err := a.fields.parse(a.input.Bytes())
		if err != nil {
			return a.lineError(err)
		}
		switch {
		case name == "":
			continue
		case !inBatch && name != msgSync, inBatch && name == msgSync:
			return a.lineError(fmt.Errorf("message %q out of place", name))
		case name == msgSync:
			inBatch = true
			a.now, err = a.fields.requiredSeconds(fieldTime)
		case name == msgCommit:
			inBatch = false
			reply.Reset()
			a.commit(&reply)
			if _, err := out.Write(reply.Bytes()); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		default:
			err = a.event(name)
		}
		if err != nil {
			return a.lineError(err)
		}
	}
	if err := a.input.Err(); err != nil {
		return a.lineError(err)
	}
	if inBatch {
		return a.lineError(errors.New("the input ends inside a batch"))
	}
	return nil
}

func (a *adapter) scan() bool {
	a.line++
	return a.input.Scan()
}

func (a *adapter) lineError(err error) error { return fmt.Errorf("line %d: %w", a.line, err) }

// commit lets each instance that had an event do all that is due, and writes the reply.
func (a *adapter) commit(reply *bytes.Buffer) {
	for _, n := range a.active {
		if n.dispatcher != nil {
			n.guard(func() { n.runTasks(a.now) })
		}
		reply.Write(n.actions.buf)
		n.actions.reset()
		n.active = false
	}
	a.active = a.active[:0]
	reply.WriteString(endOfReply)
}

// activate marks an instance as one that may act in this batch.
func (a *adapter) activate(n *instance) {
	if !n.active {
		n.active = true
		a.active = append(a.active, n)
	}
}

// event hands one event to its instance. One for an instance that is not running, or for a job that the module does not hold any more, is skipped.
func (a *adapter) event(name string) error {
	who, err := a.fields.required(fieldInstance)
	if err != nil {
		return err
	}
	switch name {
	case msgNewInstance:
		return a.start(string(who))
	case msgPowerOff:
		a.stop(string(who))
		return nil
	case msgMembership:
		return a.updateEndpoints(string(who))
	}
	n := a.instances[string(who)]
	if n != nil {
		a.activate(n)
	} else {
		n = &instance{} // not running: its events are decoded, and go nowhere
	}
	return n.event(a.now-n.startedAt, name, &a.fields)
}

// start starts an instance, in place of one that runs under its name.
func (a *adapter) start(name string) error {
	seed, err := a.fields.requiredInt(fieldSeed)
	if err != nil {
		return err
	}
	settings, err := a.fields.required(fieldSettings)
	if err != nil {
		return err
	}
	n := newInstance(name, a.now)
	if previous := a.instances[name]; previous != nil {
		previous.discard()
	}
	a.instances[name] = n
	a.activate(n)
	n.configure(settings, seed)
	return nil
}

// stop ends an instance at once: what it has decided in this batch is not sent.
func (a *adapter) stop(name string) {
	if n := a.instances[name]; n != nil {
		n.discard()
		delete(a.instances, name)
	}
}

// updateEndpoints reads an endpoint list and its entries, which are lines of their own, and hands it to its instance.
func (a *adapter) updateEndpoints(name string) error {
	kind, count, err := decodeEndpointList(&a.fields)
	if err != nil {
		return err
	}
	n := a.instances[name]
	startedAt := time.Duration(0)
	if n != nil {
		a.activate(n)
		startedAt = n.startedAt
	}
	if err := a.readEndpoints(count, startedAt); err != nil {
		return err
	}
	if n != nil {
		n.guard(func() { n.dispatcher.UpdateEndpoints(a.now-startedAt, kind, a.endpoints) })
	}
	return nil
}

// readEndpoints reads so many entries; their times become those of an instance that was started at that clock time.
func (a *adapter) readEndpoints(count int64, startedAt time.Duration) error {
	a.endpoints = a.endpoints[:0]
	for range count {
		if !a.scan() {
			return errors.New("the input ends inside a list")
		}
		name, err := a.fields.parse(a.input.Bytes())
		if err != nil {
			return err
		}
		if name != msgEntry {
			return fmt.Errorf("message %q where a list entry is due", name)
		}
		endpoint, err := decodeEndpoint(&a.fields, startedAt)
		if err != nil {
			return err
		}
		a.endpoints = append(a.endpoints, endpoint)
	}
	return nil
}
