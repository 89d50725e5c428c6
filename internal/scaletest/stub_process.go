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

// RunStub is the main function of a stub process. It reads a job and then requests for counts from in, answers on out,
// and returns when in ends. If the job is to measure the policy alone, it returns after the first answer.
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
	var tasksStarted atomic.Int64
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
			OnEffect: func(policy.JobID) { tasksStarted.Add(1) }}
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
		var about policy.ExecutorID // the executor whose drain the request is about; empty for none
		if err := lines.Decode(&about); err != nil {
			return nil // the measurement has ended
		}
		c := Counts{TasksStarted: tasksStarted.Load(), ConnsAccepted: t.connsAccepted.Load(), BytesRead: t.bytesRead.Load(), BytesWritten: t.bytesWritten.Load(), Gossip: members.counts(about)}
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

// stubProcess is a stub process as seen by the measuring process that started it.
type stubProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *json.Decoder
	Addrs []string
}

// startStub starts a stub process for a job with executors or nodes, and waits until it is ready.
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

// start starts the process, sends it the job and reads the first answer.
func (p *stubProcess) start(command []string, job stubJob, answer any) error {
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Stderr = os.Stderr
	p.cmd.Env = append(os.Environ(), StubEnv+"=1")
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the kernel kills the stub when this process dies
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.out = json.NewDecoder(bufio.NewReader(out))
	if err := errors.Join(json.NewEncoder(p.in).Encode(job), p.out.Decode(answer)); err != nil {
		return fmt.Errorf("start stub process: %w", errors.Join(err, p.stop()))
	}
	return nil
}

// counts reads the counts of the process. They include the number of stub nodes that know of the drain of the given
// executor. An empty id stands for no executor.
func (p *stubProcess) counts(about policy.ExecutorID) (c Counts, err error) {
	if err := json.NewEncoder(p.in).Encode(about); err != nil {
		return c, err
	}
	return c, p.out.Decode(&c)
}

// stop ends the process by closing its input, or kills it after 5 s. Its exit status is ignored, since all results have
// been read before.
func (p *stubProcess) stop() error {
	closed := p.in.Close()
	timeout := time.AfterFunc(5*time.Second, func() { p.cmd.Process.Kill() })
	defer timeout.Stop()
	ended := p.cmd.Wait()
	if errors.As(ended, new(*exec.ExitError)) {
		ended = nil
	}
	return errors.Join(closed, ended)
}
