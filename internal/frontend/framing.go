package frontend

import (
	"bytes"
	"strconv"
)

// requestFramer follows what is read on a client's connection, up to the first message in chunks. Guards against a message with
// both a length and chunks: net/http keeps to the chunks and drops the length without a word, and what the one covers and
// the other does not may hide a batch job.
type requestFramer struct {
	completeHeads int    // whole ones
	stopped       bool   // nothing more is followed: a message in chunks has come, or one that makes no sense
	chunked       bool   // the last whole head says so,
	hasLength     bool   // and has a length as well
	contentLength int64  // how long this head says its body is
	bodyRemaining int64  // bytes of a body still to come
	inHead        bool   // the line is not a head's first
	line          []byte // what has come of it, as far as it may matter
	headHasLength bool   // this head has a length so far,
	headHasCoding bool   // and a transfer coding
}

// maxFieldLine is more than any length takes with its name.
const maxFieldLine = 80

func (f *requestFramer) observe(b []byte) {
	for len(b) > 0 && !f.stopped {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(b)))
			f.bodyRemaining -= n
			b = b[n:]
			continue
		}
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part, b = b[:end], b[end+1:]
		} else {
			b = nil
		}
		if room := maxFieldLine - len(f.line); room > 0 {
			f.line = append(f.line, part[:min(room, len(part))]...)
		}
		if end >= 0 {
			f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
			f.line = f.line[:0]
		}
	}
}

func (f *requestFramer) endLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !f.inHead:
		f.inHead = true
	case len(line) == 0:
		f.completeHeads++
		f.chunked, f.hasLength = f.headHasCoding, f.headHasLength
		f.stopped = f.headHasCoding
		f.bodyRemaining, f.contentLength, f.inHead, f.headHasLength, f.headHasCoding = f.contentLength, 0, false, false, false
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.headHasCoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.headHasLength, f.contentLength, f.stopped = true, n, err != nil || n < 0 || len(line) >= maxFieldLine-1
	}
}
