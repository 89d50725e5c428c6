package scaletest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"birchstair/internal/emulator/platform"
	"birchstair/policy"
)

// A hollow process holds many executors, or many nodes without batch jobs. It is told what to hold by one line of JSON, answers with one, and then answers
// each line with its counts, until its input ends.

// hollowJob is what a hollow process is to hold.
type hollowJob struct {
	Host      string           `json:"Host"` // the address that its executors listen on
	Executors []hollowExecutor `json:"Executors"`
	Work      time.Duration    `json:"Work"` // that each task takes
	Nodes     []hollowNode     `json:"Nodes"`
	Fleet     hollowFleet      `json:"Fleet"`
	Module    *moduleJob       `json:"Module"` // if it is there: play the module alone, answer with its figures, and end
}

type hollowExecutor struct {
	ID    policy.ExecutorID `json:"ID"`
	Slots int               `json:"Places"`
}

// hollowReady is its first answer.
type hollowReady struct {
	Addrs []string `json:"Addrs"` // of the executors, in order
	Error string   `json:"Wrong"`
}

// Counts are what a hollow process has seen since it began.
type Counts struct {
	Ran    int64 `json:"Ran"`    // tasks begun
	Opened int64 `json:"Opened"` // connections
	In     int64 `json:"In"`     // bytes that came
	Out    int64 `json:"Out"`
	Over   int   `json:"Over"` // executors that have run more tasks at once than they have places

	Fleet fleetCounts `json:"Fleet"`
}

// traffic counts what passes a listener's connections.
type traffic struct{ opened, in, out atomic.Int64 }

type countedListener struct {
	net.Listener
	t *traffic
}

type countedConn struct {
	net.Conn
	t *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.t.opened.Add(1)
	return countedConn{c, l.t}, nil
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.in.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.out.Add(int64(n))
	return n, err
}

// Hollow is the main function of a hollow process.
func Hollow(in io.Reader, out io.Writer) error {
	lines, answers := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	var job hollowJob
	if err := lines.Decode(&job); err != nil {
		return err
	}
	if job.Module != nil {
		return answers.Encode(job.Module.play())
	}
	var t traffic
	var ran atomic.Int64
	var ready hollowReady
	executors := make([]*platform.Executor, len(job.Executors))
	for i, x := range job.Executors {
		l, err := net.Listen("tcp", job.Host+":0")
		if err != nil {
			ready.Error = err.Error()
			break
		}
		defer l.Close()
		ready.Addrs = append(ready.Addrs, l.Addr().String())
		executors[i] = &platform.Executor{ID: x.ID, Places: x.Slots, Reports: true, Takes: func() time.Duration { return job.Work },
			Ran: func(policy.JobID) { ran.Add(1) }}
		go executors[i].Serve(countedListener{l, &t})
	}
	members, err := startMembers(job)
	defer members.stop()
	if err != nil {
		ready.Error = err.Error()
	}
	if err := answers.Encode(ready); err != nil || ready.Error != "" {
		return errors.Join(err, errors.New(ready.Error))
	}
	for {
		var about policy.ExecutorID // whose drain is asked for
		if err := lines.Decode(&about); err != nil {
			return nil // whoever started it has ended
		}
		c := Counts{Ran: ran.Load(), Opened: t.opened.Load(), In: t.in.Load(), Out: t.out.Load(), Fleet: members.counts(about)}
		for _, x := range executors {
			if x.Most() > x.Places {
				c.Over++
			}
		}
		if err := answers.Encode(c); err != nil {
			return nil
		}
	}
}

// hollowProcess is a hollow process from its starter's side.
type hollowProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *json.Decoder
	Addrs []string
}

func startHollow(command []string, job hollowJob) (*hollowProcess, error) {
	h := &hollowProcess{}
	var ready hollowReady
	if err := h.start(command, job, &ready); err != nil {
		return nil, err
	}
	if ready.Error != "" {
		return nil, errors.Join(errors.New(ready.Error), h.stop())
	}
	h.Addrs = ready.Addrs
	return h, nil
}

// start starts the process and reads its first answer.
func (h *hollowProcess) start(command []string, job hollowJob, answer any) error {
	h.cmd = exec.Command(command[0], command[1:]...)
	h.cmd.Stderr = os.Stderr
	h.cmd.Env = append(os.Environ(), HollowEnv+"=1")
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the run
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		return err
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.out = json.NewDecoder(bufio.NewReader(out))
	if err := errors.Join(json.NewEncoder(h.in).Encode(job), h.out.Decode(answer)); err != nil {
		return fmt.Errorf("a hollow process does not begin: %w", errors.Join(err, h.stop()))
	}
	return nil
}

// counts asks for the counts, and who holds that executor as draining.
func (h *hollowProcess) counts(about policy.ExecutorID) (c Counts, err error) {
	if err := json.NewEncoder(h.in).Encode(about); err != nil {
		return c, err
	}
	return c, h.out.Decode(&c)
}

// stop ends the process by the end of its input, or kills it after a while. Its exit status is not an error: all that counts
// of it was read before.
func (h *hollowProcess) stop() error {
	closed := h.in.Close()
	late := time.AfterFunc(5*time.Second, func() { h.cmd.Process.Kill() })
	defer late.Stop()
	ended := h.cmd.Wait()
	if errors.As(ended, new(*exec.ExitError)) {
		ended = nil
	}
	return errors.Join(closed, ended)
}
