package simulation

import (
	"bufio"
	"net"
	"time"

	"birchstair/internal/emulator/platform"
)

const discoveryAddress = "127.0.0.1:8500"

func (v *wiredWorld) serveDiscovery() {
	l, err := v.net.Listen("discovery", discoveryAddress)
	if err != nil {
		panic(err) // it is the first
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serveWatch(c)
		}
	}()
}

func (v *wiredWorld) serveWatch(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		ask, err := platform.ReadWatch(r)
		if err != nil {
			return
		}
		answer := v.watch(ask)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// watch waits until there is an answer; while discovery is silent there is none.
func (v *wiredWorld) watch(ask platform.Watch) (answer []byte) {
	until := time.Now().Add(ask.Hold)
	for {
		var news chan struct{}
		v.update(func() {
			news = v.endpointsChanged
			d := v.world.discovery
			if d.Silent() {
				return
			}
			version, entries := d.Since(v.world.now, ask.From)
			if ask.Whole {
				entries = d.Whole(v.world.now)
			}
			if ask.Whole || len(entries) > 0 || !time.Now().Before(until) {
				answer = platform.AppendList(nil, version, ask.Whole, entries, v.world.scenario.Fleet.Zones, v.start)
			}
		})
		if answer != nil {
			return answer
		}
		var over <-chan time.Time // of its hold; once that has passed only news counts: discovery is silent
		if left := time.Until(until); left > 0 {
			over = time.After(left)
		}
		select {
		case <-news:
		case <-over:
		case <-v.done:
			return nil
		}
	}
}

// notifyWatches lets all watches look.
func (v *wiredWorld) notifyWatches() {
	close(v.endpointsChanged)
	v.endpointsChanged = make(chan struct{})
}
