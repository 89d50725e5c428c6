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

// RunStub is the main function of a hollow process. It serves until in ends.
func RunStub(in io.Reader, out io.Writer) error {
	lines, answers := json.NewDecoder(bufio.NewReader(in)), json.NewEncoder(out)
	var job stubJob
	if err := lines.Decode(&job); err != nil {
		return err
	}
	if job.Policy != nil {
		return answers.Encode(job.Policy.play())
	}
	var t traffic
	var ran atomic.Int64
	var ready stubReady
	executors := make([]*platform.Executor, len(job.Executors))
	for i, x := range job.Executors {
		l, err := net.Listen("tcp", job.Host+":0")
		if err != nil {
			ready.Error = err.Error()
			break
		}
		defer l.Close()
		ready.Addrs = append(ready.Addrs, l.Addr().String())
		executors[i] = &platform.Executor{ID: x.ID, Slots: x.Slots, SendsLoad: true, RunTime: func() time.Duration { return job.TaskDuration },
			OnEffect: func(policy.JobID) { ran.Add(1) }}
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
		var about policy.ExecutorID // the executor whose drain is of interest
		if err := lines.Decode(&about); err != nil {
			return nil // the measurement has ended
		}
		c := Counts{TasksStarted: ran.Load(), ConnsAccepted: t.opened.Load(), BytesRead: t.in.Load(), BytesWritten: t.out.Load(), Fleet: members.counts(about)}
		for _, x := range executors {
			if x.MaxRunning() > x.Slots {
				c.OverfullExecutors++
			}
		}
		if err := answers.Encode(c); err != nil {
			return nil
		}
	}
}

// stubProcess is a hollow process, from the side of the measurement.
type stubProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *json.Decoder
	Addrs []string
}

// startStub starts a process for a job that has executors or nodes, and waits until it is ready.
func startStub(command []string, job stubJob) (*stubProcess, error) {
	h := &stubProcess{}
	var ready stubReady
	if err := h.start(command, job, &ready); err != nil {
		return nil, err
	}
	if ready.Error != "" {
		return nil, errors.Join(errors.New(ready.Error), h.stop())
	}
	h.Addrs = ready.Addrs
	return h, nil
}

// start starts the process, sends its job and reads the first answer.
func (h *stubProcess) start(command []string, job stubJob, answer any) error {
	h.cmd = exec.Command(command[0], command[1:]...)
	h.cmd.Stderr = os.Stderr
	h.cmd.Env = append(os.Environ(), StubEnv+"=1")
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive this process
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

// counts reads the counts, and how many hollow nodes know that an executor drains; an empty id for none.
func (h *stubProcess) counts(about policy.ExecutorID) (c Counts, err error) {
	if err := json.NewEncoder(h.in).Encode(about); err != nil {
		return c, err
	}
	return c, h.out.Decode(&c)
}

// stop ends the process by closing its input, or kills it after a while. Its exit status is not an error: all that counts of it
// was read before.
func (h *stubProcess) stop() error {
	closed := h.in.Close()
	timeout := time.AfterFunc(5*time.Second, func() { h.cmd.Process.Kill() })
	defer timeout.Stop()
	ended := h.cmd.Wait()
	if errors.As(ended, new(*exec.ExitError)) {
		ended = nil
	}
	return errors.Join(closed, ended)
}
