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

// Sizes in bytes. A batch may be megabytes long, but it consists of many lines: each entry of an endpoint list has a
// line of its own.
const (
	lineBuffer   = 1 << 20 // initial size of the buffer that holds a line
	maxLineBytes = 1 << 28 // the longest line that is read
)

// adapter holds the state of a connection to the simulator.
type adapter struct {
	input     *bufio.Scanner
	line      int                  // number of the last line read, from 1
	now       time.Duration        // time of the present batch on the simulator's clock
	instances map[string]*instance // running instances, by their names
	active    []*instance          // instances with an event in the present batch, in the order of their first events
	fields    fields               // fields of the last line read
	endpoints []policy.Endpoint    // entries of the last endpoint list read
}

// Run reads batches from in, and writes a reply to each batch to out, until the input ends. An error about the input
// states the number of the invalid line.
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
				return fmt.Errorf("writing a reply: %w", err)
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

// commit ends a batch: each instance that had an event carries out the tasks that are due, and its actions are added to
// the reply.
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

// activate marks an instance as one that had an event in the present batch.
func (a *adapter) activate(n *instance) {
	if !n.active {
		n.active = true
		a.active = append(a.active, n)
	}
}

// event passes an event to its instance. The event has no effect if the instance is not running, or if the event is
// about a job that the dispatcher does not have any more.
func (a *adapter) event(message string) error {
	name, err := a.fields.required(fieldInstance)
	if err != nil {
		return err
	}
	switch message {
	case msgNewInstance:
		return a.start(string(name))
	case msgPowerOff:
		a.stop(string(name))
		return nil
	case msgMembership:
		return a.updateEndpoints(string(name))
	}
	n := a.instances[string(name)]
	if n != nil {
		a.activate(n)
	} else {
		n = &instance{} // not running: the event is decoded, so that a malformed one is an error, and has no effect
	}
	return n.event(a.now-n.startedAt, message, &a.fields)
}

// start starts an instance. It replaces a running instance of the same name.
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

// stop ends an instance at once. Its actions of the present batch are not sent.
func (a *adapter) stop(name string) {
	if n := a.instances[name]; n != nil {
		n.discard()
		delete(a.instances, name)
	}
}

// updateEndpoints reads an endpoint list, whose entries are the lines that follow, and passes the list to its instance.
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

// readEndpoints reads the given number of entries of an endpoint list. Their times become relative to startedAt, the
// start of the instance.
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
