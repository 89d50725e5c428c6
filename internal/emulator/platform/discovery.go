package platform

import (
	"bufio"
	"net"
	"sync"
	"time"

	"birchstair/internal/emulator"
)

// Discovery is a server that publishes the same endpoint list to all nodes, without a lag. Its exported fields must be
// set before Serve.
type Discovery struct {
	Entries []emulator.Entry // the initial list
	Zones   []string         // names of the zones, by their ids
	Epoch   time.Time        // time from which the starts of executors count; the present time if it is zero

	mu      sync.Mutex
	model   *emulator.Discovery
	changed chan struct{} // closed by the next change
}

// endOfTime is a time at which every change has been published.
const endOfTime = time.Duration(1<<63 - 1)

// modelLocked returns the model, and creates it from the initial list if there is none. It is called with d.mu held.
func (d *Discovery) modelLocked() *emulator.Discovery {
	if d.model == nil {
		d.model, d.changed = emulator.NewDiscovery(0), make(chan struct{})
		for _, e := range d.Entries {
			d.model.Change(0, e)
		}
	}
	return d.model
}

// Change publishes changes of entries, all in one update.
func (d *Discovery) Change(entries ...emulator.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.modelLocked()
	for _, e := range entries {
		list.Change(0, e)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// answer returns the answer to a request. If there is no change and the request has not timed out, it returns a channel
// instead, which is closed by the next change.
func (d *Discovery) answer(watch Watch, timedOut bool) ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version, entries := d.modelLocked().Since(endOfTime, watch.From)
	if watch.Complete {
		entries = d.modelLocked().Complete(endOfTime)
	}
	if !watch.Complete && !timedOut && len(entries) == 0 {
		return nil, d.changed
	}
	epoch := d.Epoch
	if epoch.IsZero() {
		epoch = time.Now()
	}
	return AppendList(nil, version, watch.Complete, entries, d.Zones, epoch), nil
}

// Serve accepts connections until the listener is closed. It serves each one in a goroutine of its own, until the node
// closes it.
func (d *Discovery) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		watch, err := ReadWatch(r)
		if err != nil {
			return
		}
		if _, err := c.Write(d.await(watch)); err != nil {
			return
		}
	}
}

// await returns the answer to a request, once there is a change or the request has timed out.
func (d *Discovery) await(watch Watch) []byte {
	timeout := time.After(watch.Hold)
	answer, changed := d.answer(watch, false)
	for timedOut := false; answer == nil; answer, changed = d.answer(watch, timedOut) {
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		}
	}
	return answer
}
