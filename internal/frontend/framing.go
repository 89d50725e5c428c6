package frontend

import (
	"bytes"
	"strconv"
)

// framing follows what is read on a client's connection, up to the first message in chunks. Guards against a message with
// both a length and chunks: net/http keeps to the chunks and drops the length without a word, and what the one covers and
// the other does not may hide a batch job.
type framing struct {
	heads  int    // whole ones
	ended  bool   // nothing more is followed: a message in chunks has come, or one that makes no sense
	chunks bool   // the last whole head says so,
	length bool   // and has a length as well
	body   int64  // how long this head says its body is
	skip   int64  // bytes of a body still to come
	begun  bool   // the line is not a head's first
	line   []byte // what has come of it, as far as it may matter
	field  bool   // this head has a length so far,
	coding bool   // and a transfer coding
}

// longestField is more than any length takes with its name.
const longestField = 80

func (f *framing) follow(b []byte) {
	for len(b) > 0 && !f.ended {
		if f.skip > 0 {
			n := min(f.skip, int64(len(b)))
			f.skip -= n
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
		if room := longestField - len(f.line); room > 0 {
			f.line = append(f.line, part[:min(room, len(part))]...)
		}
		if end >= 0 {
			f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
			f.line = f.line[:0]
		}
	}
}

func (f *framing) endLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !f.begun:
		f.begun = true
	case len(line) == 0:
		f.heads++
		f.chunks, f.length = f.coding, f.field
		f.ended = f.coding
		f.skip, f.body, f.begun, f.field, f.coding = f.body, 0, false, false, false
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.coding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.field, f.body, f.ended = true, n, err != nil || n < 0 || len(line) >= longestField-1
	}
}
