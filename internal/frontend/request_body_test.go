package frontend

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestRequestBody reads bodies of all sizes around the steps in which their memory grows.
func TestRequestBody(t *testing.T) {
	var budget byteBudget
	budget.setLimit(1 << 20)
	for _, size := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, firstBodyBytes * bodyGrowth, maxBodyBytes - 1, maxBodyBytes} {
		sent := bytes.Repeat([]byte{'b'}, size)
		for _, length := range []int64{int64(size), -1} {
			body := requestBody{budget: &budget}
			if err := body.read(iotest.HalfReader(bytes.NewReader(sent)), length); err != nil || !bytes.Equal(body.data, sent) {
				t.Errorf("%d bytes, length %d: %d bytes, %v", size, length, len(body.data), err)
			}
			if used := budget.used.Load(); used < int64(size) || used > max(firstBodyBytes, int64(size)*bodyGrowth) {
				t.Errorf("%d bytes, length %d: %d bytes are reserved", size, length, used)
			}
			body.release()
			if used := budget.used.Load(); used != 0 {
				t.Errorf("%d bytes stay reserved", used)
			}
		}
	}
}

// TestRequestBodyErrors checks bodies that are too large, that stop, or for which there is no memory.
func TestRequestBodyErrors(t *testing.T) {
	for _, c := range []struct {
		name          string
		sent          int
		length, limit int64
		want          error
	}{
		{"announced as too large", 0, maxBodyBytes + 1, 1 << 20, errBodyTooLarge},
		{"too large in chunks", maxBodyBytes + 1, -1, 1 << 20, errBodyTooLarge},
		{"stops", 100, 200, 1 << 20, io.EOF},
		{"no memory", 100, 100, 99, errBodyMemory},
		{"no memory for the second step", 2 * firstBodyBytes, 2 * firstBodyBytes, firstBodyBytes, errBodyMemory},
		{"announced and not sent", 0, maxBodyBytes, firstBodyBytes, io.EOF},
	} {
		var budget byteBudget
		budget.setLimit(c.limit)
		// The end of the body comes with its last byte, or after it.
		for _, reader := range []func(io.Reader) io.Reader{iotest.DataErrReader, iotest.OneByteReader} {
			body := requestBody{budget: &budget}
			if err := body.read(reader(strings.NewReader(strings.Repeat("b", c.sent))), c.length); !errors.Is(err, c.want) {
				t.Errorf("%s: %v, want %v", c.name, err, c.want)
			}
			body.release()
			if used := budget.used.Load(); used != 0 {
				t.Errorf("%s: %d bytes stay reserved", c.name, used)
			}
		}
	}
}

// TestBodiesOverMemory has clients send bodies for which there is no memory together. One must be rejected, and its connection
// must carry the next request.
func TestBodiesOverMemory(t *testing.T) {
	c, _ := newHaltableNode(t, 10)
	c.server.conns.bodies.setLimit(40 << 10)
	first, second := c.dial(), c.dial()
	large := func(id string) string {
		return jobRequest(id, "Content-Length: 30000") + strings.Repeat("b", 30000)
	}
	first.send(large("wait-1"))
	c.nextJob()
	second.send(large("full-2"))
	if job := c.nextJob(); !job.NearMemoryLimit || len(job.Body) != 0 {
		t.Errorf("a body of %d bytes is stored without memory for it", len(job.Body))
	}
	c.server.Answer(rejectionOf("full-2"))
	c.printAnswer(second)
	second.send(jobRequest("handled-3"))
	if job := c.nextJob(); job.NearMemoryLimit {
		t.Error("a job without a body counts as too large")
	}
	c.printAnswer(second)
	c.server.Answer(answerTo("wait-1"))
	c.printAnswer(first)
	c.waitUntil("the memory is released", func() bool { return c.server.conns.bodies.used.Load() == 0 })
	if got, want := c.out.String(), "  answer: 503 \"pushed back\"\n  answer: 200 \"the result\"\n  answer: 200 \"at last\"\n"; got != want {
		t.Errorf("got %swant %s", got, want)
	}
}
