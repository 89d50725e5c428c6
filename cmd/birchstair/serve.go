package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/clients"
	"birchstair/internal/config"
	"birchstair/internal/executors"
	"birchstair/internal/list"
	"birchstair/internal/node"
	"birchstair/policy"
)

// serve puts a node together and runs it until the context ends and all is answered. Each time again brings
// something, the configuration is read anew.
func serve(ctx context.Context, c told, again <-chan os.Signal, read func() (told, error), start time.Time,
	log zerolog.Logger) error {
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	debug.SetMemoryLimit(c.Memory * 3 / 4)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err // it names the address
	}

	loop := node.NewLoop(start)
	s := c.Settings
	fromClients, toExecutors := c.Descriptors()
	front := clients.New(s.Tracks, s.Policy.Tracks, fromClients, loop.Tell)
	pool := executors.New(s.DialLimit, s.TellsLoad(), loop.Tell)
	watcher := list.New(c.names, loop.Tell)
	core := node.New(policy.New(s.Policy), node.Limits{
		Quantum: s.Policy.Quantum, IdleUse: s.IdleLimit * 4 / 5, DialLimit: s.DialLimit,
		Conns: toExecutors, Bodies: int(c.Memory / 4), ComeBack: s.Policy.MaxComeBack,
		Work: c.LongestWork(), StopSpell: config.StopSpell, StopLimit: c.StopLimit()})

	broken := make(chan error, 1)
	go func() {
		if err := front.Serve(listener); err != nil {
			broken <- fmt.Errorf("listen: %v", err)
			loop.Tell(node.FrontClosed{})
		}
	}()
	watching, enough := context.WithCancel(context.Background())
	defer enough()
	go func() {
		loop.Tell(node.Listed{Kind: policy.WarmCopy, Executors: c.known})
		watcher.Run(watching, c.Discovery)
	}()
	go func() {
		<-ctx.Done()
		front.Ending()
		loop.Tell(node.Stopping{})
	}()
	go func() {
		for range again {
			loop.Tell(reread(c, read))
		}
	}()
	log.Info().Str("listen", c.Listen).Int("known", len(c.known)).Int("clients", fromClients).
		Int("executors", toExecutors).Msg("the node is up")
	loop.Run(core, front, pool, watcher, log)
	select {
	case err := <-broken:
		return err
	default:
		return nil
	}
}

// reread reads the configuration anew, whole: what would not do for a start changes nothing.
func reread(c told, read func() (told, error)) node.Reread {
	t, err := read()
	if err != nil {
		return node.Reread{Detail: err.Error()}
	}
	return node.Reread{Discovery: t.Discovery, Waits: c.Waits(t.Config)}
}
