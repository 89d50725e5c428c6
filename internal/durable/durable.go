// Package durable is the edge of durable batch jobs: the front that takes them in, the store, and what stands between the reducer and its other edges so that
// nothing of a durable batch job goes out before it stands on the disk. What becomes of them is decided in package leases.
package durable

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/policy"
)

const (
	askSpell  = 2 * time.Second
	fullSpell = 2 * time.Second
	prefix    = "durable-" // of the ids under which the reducer has them: no client of the ordinary front's may meet one
)

// Options are what the operator has set.
type Options struct {
	OuterLimit time.Duration
	Leases     leases.Settings
}

// Durable is the edge.
type Durable struct {
	o      Options
	store  *store.Store
	tracks map[string]track
	log    zerolog.Logger
	http   *http.Client
	tell   func(node.Event)
	ctx    context.Context
	stop   context.CancelFunc

	clients   node.Frontend
	executors node.Upstream

	mu      sync.Mutex
	book    *leases.Book
	records map[leases.ID]*store.Record // of those on their way to the disk; of all others the store has them
	waits   map[leases.ID]chan struct{}
	kept    map[leases.ID]chan error
	writes  map[node.ConnID]*pending
	out     map[leases.ID]node.ConnID // where the latest allocation of each was written, or is to be
	addrs   map[node.ConnID]string
	at      map[string]policy.ExecutorID // executors by address, from the list
	where   map[policy.ExecutorID]string
	timer   *time.Timer
	plant   plant
	ready   bool
	early   []leases.Effect // to be carried out once the node is ready
}

// plant holds defects that tests plant; none in use.
type plant struct {
	ackFirst  bool // acknowledges before the record stands on the disk
	sendFirst bool // lets an allocation out before its record stands there
	noEpoch   bool // sends without an epoch
	takesOver bool // takes any end of an allocation for a proof that it never ran
}

// track is a track's part.
type track struct {
	id      policy.JobClassID
	tagged  bool
	lease   leases.JobClass
	dropped bool // by another configuration: those on the disk go on, no new ones come
}

// pending is an allocation that was written, or waits for its record.
type pending struct {
	id    leases.ID
	epoch leases.Epoch
	alloc node.Attempt
}

// Twin begins the name of a track's twin for durable batch jobs.
const Twin = "durable/"

// Tracks adds a twin of each track for durable batch jobs: with their outer limit, and in time as long as that lasts.
func Tracks(s policy.Settings, limit time.Duration) policy.Settings {
	for _, t := range slices.Clone(s.JobClasses) {
		t.ExpectedWork = t.LatencyObjective // hours to be in time say nothing of the work
		t.Deadline, t.LatencyObjective, t.RunTimeFactor, t.LateValue = limit, limit, 0, 0
		s.JobClasses = append(s.JobClasses, t)
	}
	return s
}

// New takes up a store: names and tracks are those of the settings, without their twins. Nothing goes to the reducer before Start.
func New(o Options, s *store.Store, names []string, tracks []policy.JobClass, dial func(context.Context, string) (net.Conn, error), log zerolog.Logger) *Durable {
	d := &Durable{o: o, store: s, tracks: map[string]track{}, log: log, http: dialer(dial), book: leases.NewBook(o.Leases),
		records: map[leases.ID]*store.Record{}, waits: map[leases.ID]chan struct{}{}, kept: map[leases.ID]chan error{},
		writes: map[node.ConnID]*pending{}, out: map[leases.ID]node.ConnID{}, addrs: map[node.ConnID]string{}, at: map[string]policy.ExecutorID{}, where: map[policy.ExecutorID]string{}}
	for i, name := range names {
		d.tracks[name] = twin(policy.JobClassID(len(names)+i), tracks[i])
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// twin is what a track's twin of that number asks of its batch jobs.
func twin(id policy.JobClassID, t policy.JobClass) track {
	return track{id: id, tagged: t.Idempotency == policy.IdempotentWithKey, lease: leases.JobClass{Idempotency: t.Idempotency, DedupGroup: t.DedupGroup, DedupWindow: t.DedupWindow}}
}

func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

func of(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// Start stands between the reducer and its edges from now on, and takes up what the store holds.
func (d *Durable) Start(tell func(node.Event), clients node.Frontend, executors node.Upstream) (node.Frontend, node.Upstream) {
	d.tell, d.clients, d.executors = tell, clients, executors
	d.recover()
	return (*clientsSide)(d), (*executorsSide)(d)
}

// recover takes up all batch jobs on the disk.
func (d *Durable) recover() {
	began, last := time.Now(), time.Duration(0)
	var all []store.State
	d.store.All(func(st store.State) {
		all = append(all, st)
		last = max(last, of(st.Accepted.At))
		for _, s := range st.Sends {
			last = max(last, of(s.At))
		}
		if st.Final != nil {
			last = max(last, of(st.Final.At))
		}
	})
	slices.SortFunc(all, func(a, b store.State) int { return strings.Compare(a.Accepted.ID, b.Accepted.ID) })
	d.mu.Lock()
	t := now()
	if t < last {
		d.log.Warn().Dur("behind", last-t).Msg("the clock is behind the store's last record: no dedup window is counted on it")
	}
	unknown := 0
	for _, st := range all {
		id := leases.ID(st.Accepted.ID)
		tr, ok := d.tracks[st.Accepted.Track]
		if !ok {
			unknown++ // its track is gone from the settings: nothing is known of what it allows
			tr.lease.Idempotency = policy.AtMostOnce
		}
		var sends []leases.Send
		for _, s := range st.Sends {
			sends = append(sends, leases.Send{Epoch: leases.Epoch(s.Epoch), Executor: policy.ExecutorID(s.Executor), At: of(s.At), NeverRan: s.Over && s.NeverRan})
		}
		var final *leases.Final
		var result []byte
		var finalAt time.Duration
		if st.Final != nil {
			f := leases.Final(st.Final.Answer)
			final, result, finalAt = &f, st.Final.Body, of(st.Final.At)
		}
		limit := of(st.Accepted.Limit)
		if !ok {
			limit = min(limit, t)
		}
		d.early = append(d.early, d.book.Recover(t, last, leases.Job{ID: id, Track: tr.lease, Limit: limit}, sends, final, result, finalAt)...)
	}
	n := d.book.Counts()
	d.mu.Unlock()
	figures := d.store.Figures()
	d.log.Info().Int("waiting", n[leases.Waiting]+n[leases.InHand]).Int("asking", n[leases.Asking]).Int("closing", n[leases.Closing]).
		Int("done", n[leases.Done]).Int("unknown_tracks", unknown).Int64("bytes", figures.Bytes).Int("segments", figures.Segments).
		Dur("took", time.Since(began)).Msg("durable batch jobs recovered")
}

// carryOut does what package leases has decided. It is called without the lock.
func (d *Durable) carryOut(effects []leases.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case leases.KeepJob:
			d.mu.Lock()
			rec := d.records[e.ID]
			if d.plant.ackFirst {
				d.answerKept(e.ID, nil)
			}
			d.mu.Unlock()
			d.append(*rec, func(err error) {
				if err != nil {
					d.step(func(t time.Duration) []leases.Effect {
						d.answerKept(e.ID, err)
						delete(d.records, e.ID)
						return d.book.NotKept(t, e.ID)
					})
					return
				}
				d.step(func(t time.Duration) []leases.Effect {
					delete(d.records, e.ID)
					return d.book.Kept(t, e.ID)
				})
			})
		case leases.KeepSend:
			rec := store.Record{Kind: store.Sent, ID: string(e.ID), At: time.Now(), Epoch: uint32(e.Send.Epoch), Executor: string(e.Send.Executor)}
			d.append(rec, func(err error) {
				if err == nil {
					d.step(func(t time.Duration) []leases.Effect { return d.book.SendKept(t, e.ID, e.Send.Epoch) })
				}
			})
		case leases.KeepOver:
			d.append(store.Record{Kind: store.Over, ID: string(e.ID), At: time.Now(), Epoch: uint32(e.Epoch), NeverRan: true}, func(error) {})
		case leases.KeepFinal:
			rec := store.Record{Kind: store.Final, ID: string(e.ID), At: time.Now(), Answer: uint8(e.Final), Body: e.Result}
			d.append(rec, func(err error) {
				if err == nil {
					d.step(func(t time.Duration) []leases.Effect { return d.book.FinalKept(t, e.ID) })
				}
			})
		case leases.KeepLetGo:
			d.append(store.Record{Kind: store.LetGo, ID: string(e.ID), At: time.Now()}, func(error) {})
		case leases.Acknowledge:
			d.mu.Lock()
			d.answerKept(e.ID, nil)
			d.mu.Unlock()
		case leases.Arrive:
			d.arrive(e)
		case leases.LetOut:
			d.letOut(e)
		case leases.Ask:
			go d.asks(e)
		case leases.Publish:
			d.mu.Lock()
			if w := d.waits[e.ID]; w != nil {
				close(w)
				delete(d.waits, e.ID)
			}
			d.mu.Unlock()
		case leases.Wake:
			d.mu.Lock()
			if d.timer != nil {
				d.timer.Stop()
			}
			d.timer = time.AfterFunc(max(0, e.At-now()), func() { d.step(d.book.Wake) })
			d.mu.Unlock()
		}
	}
}

// step takes one thing in and does what follows.
func (d *Durable) step(what func(now time.Duration) []leases.Effect) {
	d.mu.Lock()
	effects := what(now())
	d.mu.Unlock()
	d.carryOut(effects)
}

func (d *Durable) append(r store.Record, done func(error)) {
	d.store.Append(r, func(err error) {
		if err != nil && err != store.ErrFull && d.ctx.Err() == nil {
			d.log.Error().Err(err).Str("batch_job", r.ID).Msg("a record could not be kept")
		}
		done(err)
	})
}

// answerKept tells the client that waits for its acknowledgement.
func (d *Durable) answerKept(id leases.ID, err error) {
	if to := d.kept[id]; to != nil {
		delete(d.kept, id)
		to <- err
	}
}

// handIn takes a batch job in and waits until it stands on the disk.
func (d *Durable) handIn(client context.Context, rec *store.Record, budget time.Duration) (int, *wrong) {
	id := leases.ID(rec.ID)
	rec.At = time.Now()
	rec.Limit = rec.At.Add(budget)
	d.mu.Lock()
	if !d.ready {
		d.mu.Unlock()
		return 0, &wrong{status: http.StatusServiceUnavailable, reason: "pushed back: the node is not ready", comeBack: fullSpell}
	}
	if state, ok := d.book.State(id); ok {
		old, known := d.records[id]
		d.mu.Unlock()
		if st, ok := d.store.Get(rec.ID); !known && ok {
			old, known = st.Accepted, true
		}
		switch {
		case !known || old.Track != rec.Track || old.Tag != rec.Tag || old.URI != rec.URI || !bytes.Equal(old.Body, rec.Body):
			return 0, &wrong{status: http.StatusConflict, reason: "another batch job was handed in under this id"}
		case state == leases.Keeping:
			return 0, &wrong{status: http.StatusServiceUnavailable, reason: "pushed back: it is being put on the disk", comeBack: fullSpell}
		}
		return http.StatusOK, nil
	}
	d.records[id] = rec
	to := make(chan error, 1)
	d.kept[id] = to
	effects, _ := d.book.HandIn(of(rec.At), leases.Job{ID: id, Track: d.tracks[rec.Track].lease, Limit: of(rec.Limit)})
	d.mu.Unlock()
	d.carryOut(effects)
	select {
	case err := <-to:
		if err != nil {
			return 0, notKept(err)
		}
		return http.StatusCreated, nil
	case <-client.Done(): // its acknowledgement is lost; handing it in again finds it
		return http.StatusCreated, nil
	}
}

// await waits until a batch job is done, so long at most; it says whether there is one.
func (d *Durable) await(client context.Context, id leases.ID, wait time.Duration) bool {
	d.mu.Lock()
	state, ok := d.book.State(id)
	if !ok || state == leases.Done || wait == 0 {
		d.mu.Unlock()
		return ok
	}
	w := d.waits[id]
	if w == nil {
		w = make(chan struct{})
		d.waits[id] = w
	}
	d.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w:
	case <-t.C:
	case <-client.Done():
	case <-d.ctx.Done():
	}
	return true
}

func (d *Durable) letGo(id leases.ID) *wrong {
	d.mu.Lock()
	_, known := d.book.State(id)
	effects, ok := d.book.LetGo(now(), id)
	d.mu.Unlock()
	d.carryOut(effects)
	switch {
	case !known:
		return &wrong{status: http.StatusNotFound, reason: "no durable batch job is called so here, or it was let go"}
	case !ok:
		return &wrong{status: http.StatusConflict, reason: "it has no final answer yet"}
	}
	return nil
}

// arrive hands a batch job to the reducer, from a goroutine of its own: the reducer's would wait for itself.
func (d *Durable) arrive(e leases.Arrive) {
	st, ok := d.store.Get(string(e.ID))
	if !ok {
		return
	}
	rec := st.Accepted
	d.mu.Lock()
	tr := d.tracks[rec.Track]
	d.mu.Unlock()
	job := node.Job{Class: tr.id, Work: rec.Work, Budget: e.Budget, Request: node.Request{ID: policy.JobID(prefix + string(e.ID)), Method: http.MethodPost,
		URI: rec.URI, Host: rec.Host, ContentType: rec.ContentType, IdempotencyKey: rec.Tag, Body: rec.Body}}
	go d.tell(node.JobArrived{Job: job})
}

// asks asks an executor what became of an allocation of an earlier life.
func (d *Durable) asks(e leases.Ask) {
	d.mu.Lock()
	addr := d.where[e.Executor]
	d.mu.Unlock()
	found, result := leases.FoundNothing, []byte(nil)
	if addr != "" {
		found, result = d.ask(d.ctx, addr, prefix+string(e.ID), e.Epoch)
	}
	if d.ctx.Err() != nil {
		return
	}
	d.step(func(t time.Duration) []leases.Effect { return d.book.Told(t, e.ID, e.Epoch, found, result) })
}

// Tap sees the reducer's steps: what the list says of addresses, and how allocations end.
func (d *Durable) Tap(_ time.Duration, ev node.Event, _ []node.Effect) {
	switch ev := ev.(type) {
	case node.EndpointsUpdated:
		d.listed(ev)
	case node.AttemptEnded:
		d.over(ev.Conn, ev.Outcome.NeverRan(), false)
	case node.ConnClosed:
		d.over(ev.Conn, true, true) // nothing of it had left, or its outcome would have come
	}
}

func (d *Durable) listed(ev node.EndpointsUpdated) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range ev.Endpoints {
		if e.State == policy.Removed {
			delete(d.where, e.Executor)
			continue
		}
		d.where[e.Executor] = e.Addr
		d.at[e.Addr] = e.Executor
	}
}

func (d *Durable) over(c node.ConnID, never, closed bool) {
	d.mu.Lock()
	p := d.writes[c]
	delete(d.writes, c)
	if closed {
		delete(d.addrs, c)
	}
	if p == nil {
		d.mu.Unlock()
		return
	}
	if d.out[p.id] == c {
		delete(d.out, p.id)
	}
	effects := d.book.Over(now(), p.id, p.epoch, never || d.plant.takesOver)
	d.mu.Unlock()
	d.carryOut(effects)
}

// letOut writes an allocation whose record stands on the disk.
func (d *Durable) letOut(e leases.LetOut) {
	d.mu.Lock()
	conn := d.out[e.ID]
	p := d.writes[conn]
	d.mu.Unlock()
	if p != nil && p.id == e.ID && p.epoch == e.Epoch {
		d.executors.Write(conn, p.alloc)
	}
}

// clientsSide stands between the reducer and the ordinary front.
type clientsSide Durable

func (s *clientsSide) Answer(a node.Answer) {
	d := (*Durable)(s)
	id, ok := strings.CutPrefix(string(a.Job), prefix)
	if !ok {
		d.clients.Answer(a)
		return
	}
	d.step(func(t time.Duration) []leases.Effect {
		return d.book.Answered(t, leases.ID(id), leases.Final(a.Final), a.Result)
	})
}

// SetReady: the first time that the list has come, recovered batch jobs may go on.
func (s *clientsSide) SetReady(yes bool) {
	d := (*Durable)(s)
	d.mu.Lock()
	early := d.early
	d.early = nil
	if yes {
		d.ready = true
	} else {
		d.ready = false
		early = append(early, d.book.Stop(now())...)
	}
	d.mu.Unlock()
	d.clients.SetReady(yes)
	d.carryOut(early)
}

// UpdateJobClasses takes up the twins, and leaves them out of what ordinary batch jobs can name.
func (s *clientsSide) UpdateJobClasses(tracks []node.NumberedClass) {
	d := (*Durable)(s)
	d.mu.Lock()
	for name, t := range d.tracks {
		t.dropped = true
		d.tracks[name] = t
	}
	var plain []node.NumberedClass
	for _, t := range tracks {
		if name, ok := strings.CutPrefix(t.Name, Twin); ok {
			d.tracks[name] = twin(t.ID, t.JobClass.JobClass)
		} else {
			plain = append(plain, t)
		}
	}
	d.mu.Unlock()
	s.clients.UpdateJobClasses(plain)
}

func (s *clientsSide) DrainClients(on bool)       { s.clients.DrainClients(on) }
func (s *clientsSide) AcceptConnections(yes bool) { s.clients.AcceptConnections(yes) }
func (s *clientsSide) HalveLimits(half bool)      { s.clients.HalveLimits(half) }

func (s *clientsSide) Close() { s.clients.Close() }

// executorsSide stands between the reducer and the connections to executors.
type executorsSide Durable

func (s *executorsSide) Dial(c node.ConnID, addr string) {
	d := (*Durable)(s)
	d.mu.Lock()
	d.addrs[c] = addr
	d.mu.Unlock()
	d.executors.Dial(c, addr)
}

// Write lets an allocation of a durable batch job out once its record stands on the disk.
func (s *executorsSide) Write(c node.ConnID, a node.Attempt) {
	d := (*Durable)(s)
	id, ok := strings.CutPrefix(string(a.ID), prefix)
	if !ok {
		d.executors.Write(c, a)
		return
	}
	d.mu.Lock()
	epoch, effects := d.book.Send(now(), leases.ID(id), d.at[d.addrs[c]])
	if epoch > 0 {
		call := *a.Request
		call.Epoch = uint32(epoch)
		if d.plant.noEpoch {
			call.Epoch = 0
		}
		a.Request = &call
		d.writes[c] = &pending{id: leases.ID(id), epoch: epoch, alloc: a}
		d.out[leases.ID(id)] = c
	}
	sendFirst := d.plant.sendFirst
	d.mu.Unlock()
	if sendFirst && epoch > 0 {
		d.executors.Write(c, a)
	}
	if epoch == 0 {
		d.executors.Close(c) // it is over here: nothing goes out for it
	}
	d.carryOut(effects)
}

func (s *executorsSide) Close(c node.ConnID) { s.executors.Close(c) }

func (s *executorsSide) Probe(id policy.ExecutorID, addr string) { s.executors.Probe(id, addr) }

// End ends the edge once the reducer has ended: what waits for the disk is written.
func (d *Durable) End() error {
	d.stop()
	d.mu.Lock()
	if d.timer != nil {
		d.timer.Stop()
	}
	for _, id := range slices.Collect(maps.Keys(d.kept)) {
		d.answerKept(id, fmt.Errorf("the node ends"))
	}
	n := d.book.Counts()
	d.mu.Unlock()
	err := d.store.Close()
	d.log.Info().Int("waiting", n[leases.Waiting]+n[leases.InHand]).Int("done", n[leases.Done]).Err(err).Msg("the store is closed")
	return err
}
