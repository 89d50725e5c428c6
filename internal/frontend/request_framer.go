package frontend

import (
	"bytes"
	"strconv"
)

// requestFramer finds the boundaries of requests in the bytes that are read from a connection, up to the first request
// in chunks. net/http drops the Content-Length of a request that has chunks as well; a client or proxy that goes by the
// length could hide a second request in the difference (request smuggling). By the framer the server sees both.
type requestFramer struct {
	completeHeads int
	stopped       bool  // nothing more is followed: a request was in chunks, or its length made no sense
	chunked       bool  // the last complete head has a Transfer-Encoding
	hasLength     bool  // the last complete head has a Content-Length
	bodyRemaining int64 // bytes of the last complete head's body that have not come yet

	// The head that is being read.
	inHead        bool   // its first line has come
	line          []byte // the line that is being read, up to maxFieldLine bytes
	headHasLength bool
	headHasCoding bool
	contentLength int64
}

// maxFieldLine is more bytes than a field takes that matters here.
const maxFieldLine = 80

// observe follows the next bytes.
func (f *requestFramer) observe(b []byte) {
	for len(b) > 0 && !f.stopped {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(b)))
			f.bodyRemaining -= n
			b = b[n:]
			continue
		}
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		b = rest
		if room := maxFieldLine - len(f.line); room > 0 {
			f.line = append(f.line, line[:min(room, len(line))]...)
		}
		if complete {
			f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
			f.line = f.line[:0]
		}
	}
}

// endLine follows a complete line of a head, cut to maxFieldLine.
func (f *requestFramer) endLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !f.inHead:
		f.inHead = true
	case len(line) == 0:
		f.endHead()
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.headHasCoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.headHasLength, f.contentLength = true, n
		f.stopped = err != nil || n < 0 || len(line) >= maxFieldLine-1
	}
}

// endHead follows the end of a head.
func (f *requestFramer) endHead() {
	f.completeHeads++
	f.chunked, f.hasLength = f.headHasCoding, f.headHasLength
	f.stopped = f.headHasCoding
	f.bodyRemaining = f.contentLength
	f.inHead, f.headHasLength, f.headHasCoding, f.contentLength = false, false, false, 0
}
