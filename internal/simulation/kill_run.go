package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// KillTest is a run of a real node process on loopback, with emulated executors and clients. The node has durable jobs,
// and is killed with SIGKILL at random times. Each client submits one job until the node acknowledges it, and then
// polls until it has received the final answer twice.
type KillTest struct {
	Binary string // path of the birchstair program
	Seed   uint64
	Jobs   int    // number of durable jobs
	Kills  int    // number of times that the node is killed
	Leases bool   // whether executors answer lease queries
	Dir    string // an empty directory for the run's files; the caller removes it
}

// KillResult is the result of a KillTest.
type KillResult struct {
	Finals     map[string]int // number of jobs by the name of their final answer
	Violations []string       // descriptions of the violations
}

// The timing of a run.
const (
	submitInterval   = 15 * time.Millisecond // time between the submissions of two jobs
	minUptimeMS      = 20                    // shortest time from a start of the node to the next kill, in milliseconds
	uptimeRangeMS    = 400                   // range of the random time that is added to minUptimeMS, uniformly distributed, in milliseconds
	readyTimeout     = 10 * time.Second
	readyPoll        = 10 * time.Millisecond
	loggedTailLength = 500 // number of bytes from the end of the node's log that are quoted if a planned shutdown fails
	killStream       = 4   // second word of the seed of the random numbers; the first is KillTest.Seed
)

// killRun is the state of a running KillTest.
type killRun struct {
	KillTest
	listen string // address of the node
	site   string // path of the node's operator file
	config string // path of the node's configuration

	mu         sync.Mutex        // guards the fields below
	runsOfJob  map[string]int    // number of runs of each job
	finals     map[string]string // last final answer of each job
	violations []string
	rand       *rand.Rand
}

// Play plays the run. It returns an error if the run fails before its end; violations are not errors but part of the
// result.
func (k KillTest) Play() (KillResult, error) {
	r := &killRun{KillTest: k, runsOfJob: map[string]int{}, finals: map[string]string{}, rand: rand.New(rand.NewPCG(k.Seed, killStream))}
	closeAll, err := r.setUp()
	defer closeAll()
	if err != nil {
		return KillResult{}, err
	}
	node, err := r.start()
	if err != nil {
		return KillResult{}, err
	}
	var clients sync.WaitGroup
	for i := range k.Jobs {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * submitInterval)
			r.client(jobName(i), killClasses[i%len(killClasses)].name)
		})
	}
	for range k.Kills {
		time.Sleep(time.Duration(minUptimeMS+r.randomN(uptimeRangeMS)) * time.Millisecond)
		if node, err = r.killAndRestart(node); err != nil {
			return KillResult{}, err
		}
	}
	clients.Wait()
	r.shutDown(node)
	return r.outcome(), nil
}

func jobName(i int) string { return fmt.Sprint("job", i) }

// start starts the node's process.
func (r *killRun) start() (*exec.Cmd, error) {
	log, err := os.OpenFile(r.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(r.Binary, "serve", "--site", r.site)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+r.config)
	cmd.Stderr = log
	return cmd, errors.Join(cmd.Start(), log.Close())
}

func (r *killRun) logFile() string { return filepath.Join(r.Dir, "log") }

// killAndRestart kills the node's process and starts a new one.
func (r *killRun) killAndRestart(node *exec.Cmd) (*exec.Cmd, error) {
	if err := node.Process.Kill(); err != nil {
		return nil, err
	}
	if err := node.Wait(); err != nil && !errors.As(err, new(*exec.ExitError)) {
		return nil, err
	}
	return r.start()
}

// shutDown shuts the node down gracefully. It first waits until the node is ready, because the node ignores signals
// before that.
func (r *killRun) shutDown(node *exec.Cmd) {
	r.awaitReady()
	node.Process.Signal(syscall.SIGTERM)
	if err := node.Wait(); err != nil {
		log, logErr := os.ReadFile(r.logFile())
		if logErr != nil {
			log = []byte(logErr.Error())
		}
		r.violation("a planned end: %v; its log ends with %s", err, log[max(0, len(log)-loggedTailLength):])
	}
}

// awaitReady waits until the node reports that it is ready.
func (r *killRun) awaitReady() {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyPoll) {
		answer, err := http.Get("http://" + r.listen + "/-/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return
		}
	}
	r.violation("the node is not ready again")
}

// outcome returns the result of the run, after checking the final answer and the number of runs of each job.
func (r *killRun) outcome() KillResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := KillResult{Finals: map[string]int{}, Violations: r.violations}
	for i := range r.Jobs {
		id, once := jobName(i), killClasses[i%len(killClasses)].repeat == killAtMostOnce
		final, runs := r.finals[id], r.runsOfJob[id]
		result.Finals[final]++
		switch {
		case final == "":
			result.Violations = append(result.Violations, id+" has no final answer")
		case once && runs > 1:
			result.Violations = append(result.Violations, fmt.Sprintf("%s, once-only, ran %d times", id, runs))
		case final == "handled" && runs == 0:
			result.Violations = append(result.Violations, id+" was handled and never ran")
		case final == "pushed back" && once && runs > 0:
			result.Violations = append(result.Violations, id+" was pushed back and ran")
		}
	}
	return result
}

// violation records that something happened that must not happen.
func (r *killRun) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// randomN returns a random number that is at least 0 and below n.
func (r *killRun) randomN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}
