package durable_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchstair/internal/durable"
	"birchstair/internal/emulator"
	"birchstair/internal/emulator/platform"
	"birchstair/internal/leases"
	"birchstair/internal/node"
	"birchstair/internal/store"
	"birchstair/internal/synctesting"
	"birchstair/policy"
)

// leaseSuffix is the random part of a lease, by which no two accepted jobs have the same one.
var leaseSuffix = regexp.MustCompile(`-[A-Z2-7]{26}\b`)

// withoutLeaseSuffix returns a text without the random parts of leases.
func withoutLeaseSuffix(text string) string { return leaseSuffix.ReplaceAllString(text, "") }

// clientID returns the ID that the client of a durable job chose, by the job's ID at executors.
func clientID(callID string) string {
	return strings.TrimPrefix(withoutLeaseSuffix(callID), "durable-")
}

// leaseExecutorAddr is the address of a fixture's executor that remembers leases.
const leaseExecutorAddr = "leases:1"

// leaseExecutor is an executor that remembers leases and answers queries about them. The test says what runs on it.
type leaseExecutor struct{ table *emulator.LeaseTable }

// run runs an attempt. It returns false if the executor refuses it, because it knows a lease of this name with this epoch or a later one.
func (e leaseExecutor) run(a node.Attempt, result string) bool {
	if !e.table.Accept(a.ID, a.Epoch) {
		return false
	}
	e.table.Finish(a.ID, a.Epoch, []byte(result))
	return true
}

// answerQuery answers one lease query.
func (e leaseExecutor) answerQuery(conn net.Conn) {
	request, err := platform.ReadAttempt(bufio.NewReader(conn))
	if err != nil || !request.LeaseQuery {
		return
	}
	state, result := e.table.Query(request.Job, request.Epoch)
	conn.Write(platform.AppendLeaseAnswer(nil, state, result)) //nolint:errcheck // the node then gets no answer
}

// leaseOptions are the settings of a node whose executors support leases. Final answers are kept for one minute.
var leaseOptions = durable.Options{
	MaxDeadline: time.Hour,
	Leases:      leases.Settings{MaxDispatched: 20, AnswerTTL: time.Minute, QueryExecutors: true, QueryInterval: time.Second},
}

// leaseNode is a node whose only executor remembers leases.
type leaseNode struct {
	*fixture
	disk     *emulator.Disk
	executor leaseExecutor
	lastConn node.ConnID
}

// newLeaseNode starts a node on a disk.
func newLeaseNode(t *testing.T, disk *emulator.Disk, executor leaseExecutor) *leaseNode {
	t.Helper()
	f := newFixture(t, disk, 10<<20, leaseOptions)
	f.leases = executor
	endpoint := node.Endpoint{Endpoint: policy.Endpoint{Executor: "e"}, Addr: leaseExecutorAddr}
	f.durable.Observe(0, node.EndpointsUpdated{Kind: policy.CompleteUpdate, Endpoints: []node.Endpoint{endpoint}}, nil)
	f.front.SetReady(true)
	return &leaseNode{fixture: f, disk: disk, executor: executor}
}

// submit submits an at-most-once job and has the state machine send its first attempt, which is returned as the executor receives it.
func (n *leaseNode) submit(id string) node.Attempt {
	n.t.Helper()
	answer := n.put(durable.Path+id, http.Header{"X-Call-Class": {"order"}, "X-Budget-Ms": {"600000"}})
	if answer.Code != http.StatusCreated {
		n.t.Fatalf("submission of %s: %d %s", id, answer.Code, answer.Body)
	}
	return n.attempt(n.nextRequest())
}

// attempt has the state machine send an attempt of a job.
func (n *leaseNode) attempt(request node.Request) node.Attempt {
	n.t.Helper()
	n.lastConn++
	n.up.Dial(n.lastConn, leaseExecutorAddr)
	n.up.Write(n.lastConn, node.Attempt{Request: &request, Budget: time.Minute})
	time.Sleep(time.Second)
	synctest.Wait()
	if len(n.sent) == 0 {
		n.t.Fatalf("no attempt of %s is sent", request.ID)
	}
	return n.sent[len(n.sent)-1]
}

// finish has the state machine answer the job of the latest attempt, and returns the client's view of it.
func (n *leaseNode) finish(id, result string) string {
	n.t.Helper()
	job := n.durable.StateMachineID(id)
	n.durable.Observe(0, node.AttemptEnded{Conn: n.lastConn, Outcome: policy.Succeeded}, nil)
	n.front.Answer(node.Answer{Job: job, Final: node.Succeeded, Result: []byte(result)})
	synctest.Wait()
	time.Sleep(time.Second)
	return n.state(id)
}

// state returns the client's view of a job.
func (n *leaseNode) state(id string) string {
	n.out.Reset()
	n.call("", http.MethodGet, durable.Path+id, "")
	return n.out.String()
}

// restart crashes the node and starts it again, and waits for the answers to its lease queries.
func (n *leaseNode) restart() *leaseNode {
	n.t.Helper()
	n.disk.Crash()
	n.durable.Close() //nolint:errcheck // the disk has crashed
	restarted := newLeaseNode(n.t, n.disk, n.executor)
	time.Sleep(time.Second)
	synctest.Wait()
	return restarted
}

func (n *leaseNode) close() {
	n.t.Helper()
	if err := n.durable.Close(); err != nil {
		n.t.Error(err)
	}
}

const firstResult, firstResultOnWire = "the first job's result", "dGhlIGZpcnN0IGpvYidzIHJlc3VsdA=="

// TestIDUsedAgain guards against a durable job that is answered with the result of another one and never runs: a lease was named by the
// ID that the client chose, and executors remember a name for longer than a node remembers the job. The order of events: a job of an ID
// runs; its ID is used again, after its removal, after the end of its retention or at another node; the attempt of the second job reaches
// an executor that has run the first one, and the node crashes before it learns the outcome and asks that executor.
func TestIDUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		reuse func(*leaseNode) *leaseNode // ends the first job, and returns the node at which its ID is used again
	}{
		{"after its removal", func(n *leaseNode) *leaseNode {
			n.call("", http.MethodDelete, durable.Path+"a", "")
			return n
		}},
		{"after the end of its retention", func(n *leaseNode) *leaseNode {
			time.Sleep(2 * time.Minute)
			synctest.Wait()
			return n
		}},
		{"after its removal and a restart", func(n *leaseNode) *leaseNode {
			n.call("", http.MethodDelete, durable.Path+"a", "")
			time.Sleep(time.Second)
			synctest.Wait()
			return n.restart()
		}},
		{"at another node", func(n *leaseNode) *leaseNode {
			n.close()
			return newLeaseNode(n.t, emulator.NewDisk(rand.New(rand.NewPCG(2, 3))), n.executor)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctesting.Test(t, func(t *testing.T) {
				executor := leaseExecutor{emulator.NewLeaseTable()}
				n := newLeaseNode(t, emulator.NewDisk(rand.New(rand.NewPCG(1, 3))), executor)
				first := n.submit("a")
				if !executor.run(first, firstResult) {
					t.Fatal("the executor refuses the first job")
				}
				if state := n.finish("a", firstResult); !strings.Contains(state, firstResultOnWire) {
					t.Fatalf("the first job: %s", state)
				}
				n = c.reuse(n)
				second := n.submit("a") // the executor hangs: it does not take the attempt before the node crashes
				if second.ID == first.ID {
					t.Errorf("both jobs are called %q at executors", first.ID)
				}
				n = n.restart()
				if state := n.state("a"); strings.Contains(state, firstResultOnWire) {
					t.Errorf("the second job is answered with the first one's result: %s", state)
					n.close()
					return
				}
				again := n.attempt(n.nextRequest()) // the executor has not run the second job, so it is sent again
				if !executor.run(again, "second") {
					t.Error("the executor refuses the second job")
				}
				if executor.run(second, "second") {
					t.Error("the executor runs the second job twice, as its first attempt arrives late")
				}
				if state := n.finish("a", "second"); !strings.Contains(state, "handled") || strings.Contains(state, firstResultOnWire) {
					t.Errorf("the second job: %s", state)
				}
				n.close()
			})
		})
	}
}

// TestLateEndOfRemovedJob guards against an at-most-once job that runs twice: an attempt of a job that is removed ends late, and is taken for
// the attempt with the same epoch of the next job under this ID, which then counts as never run.
func TestLateEndOfRemovedJob(t *testing.T) {
	synctesting.Test(t, func(t *testing.T) {
		executor := leaseExecutor{emulator.NewLeaseTable()}
		n := newLeaseNode(t, emulator.NewDisk(rand.New(rand.NewPCG(1, 3))), executor)
		n.submit("a")
		firstConn := n.lastConn
		n.front.Answer(node.Answer{Job: n.durable.StateMachineID("a"), Final: node.Failed})
		time.Sleep(time.Second)
		synctest.Wait()
		n.call("", http.MethodDelete, durable.Path+"a", "")
		if !executor.run(n.submit("a"), "second") {
			t.Error("the executor refuses the second job")
		}
		n.durable.Observe(0, node.ConnClosed{Conn: firstConn}, nil) // nothing of the first job's attempt was sent
		time.Sleep(time.Second)
		synctest.Wait()
		n = n.restart()
		if state := n.state("a"); !strings.Contains(state, "c2Vjb25k") { // "second"
			t.Errorf("the second job, which has run: %s, want its result", state)
		}
		n.close()
	})
}

// TestEarlierVersionsLease guards against the same in a store that an earlier version left, which has no leases of their own: the executor
// may know another job under the ID. An attempt that may have run can't be queried, so its job fails; one that was never sent is sent under
// a lease, which is known after a further crash.
func TestEarlierVersionsLease(t *testing.T) {
	for _, sent := range []bool{true, false} {
		t.Run(fmt.Sprintf("sent: %t", sent), func(t *testing.T) {
			synctesting.Test(t, func(t *testing.T) {
				executor := leaseExecutor{emulator.NewLeaseTable()}
				executor.table.Accept("durable-a", 1) // another job that had the ID
				executor.table.Finish("durable-a", 1, []byte(firstResult))
				disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 3)))
				at := time.Now()
				records := []store.Record{
					{Kind: store.Accepted, ID: "a", At: at, JobClass: "order", Deadline: at.Add(time.Hour), URI: "/",
						RetryTerms: &store.RetryTerms{Idempotency: uint8(policy.AtMostOnce)}},
					{Kind: store.AttemptStarted, ID: "a", At: at, Epoch: 1, Executor: "e"},
				}
				if !sent {
					records = records[:1]
				}
				writeRecords(t, disk, records)
				n := newLeaseNode(t, disk, executor)
				time.Sleep(time.Second)
				synctest.Wait()
				if sent {
					if state := n.state("a"); !strings.Contains(state, "broken off") {
						t.Errorf("a job that may have run: %s, want broken off", state)
					}
					n.close()
					return
				}
				attempt := n.attempt(n.nextRequest())
				if attempt.ID == "durable-a" || !executor.run(attempt, "second") {
					t.Errorf("the attempt is called %q, and refused or run under another job's name", attempt.ID)
				}
				n = n.restart()
				if state := n.state("a"); !strings.Contains(state, "c2Vjb25k") { // "second"
					t.Errorf("after a crash: %s, want the job's own result", state)
				}
				n.close()
			})
		})
	}
}
