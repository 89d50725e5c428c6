package frontend

import (
	"bytes"
	"strconv"
)

// requestFramer finds the boundaries of requests in the bytes that are read from a connection, up to the first request with a
// chunked body. It cuts off a header after maxHeaderFields fields, before net/http allocates memory for more. It also notes
// whether a request has both Transfer-Encoding and Content-Length, so that the server can reject
// that request. This prevents request smuggling: net/http ignores the Content-Length of a chunked request, while a proxy can
// use it and then see other requests on the connection than net/http.
type requestFramer struct {
	completeHeads    int   // number of headers that were read completely
	completeRequests int   // number of requests that were read completely
	stopped          bool  // parsing has stopped, because a request was chunked or its Content-Length was invalid
	chunked          bool  // the last complete header has a Transfer-Encoding
	hasContentLength bool  // the last complete header has a Content-Length
	bodyRemaining    int64 // bytes of the body after the last complete header that are not read yet
	tooManyFields    bool  // the last complete header was cut off after maxHeaderFields fields

	// The fields below are the state of the header that is being read.
	inHead                  bool   // the request line before the header has been read
	line                    []byte // the line that is being read, truncated to maxFieldLine bytes
	fields                  int    // number of fields that were read completely
	headHasContentLength    bool
	headHasTransferEncoding bool
	contentLength           int64
}

// maxFieldLine is how many bytes of a line the framer keeps. A Content-Length line without padding is shorter. If a Content-Length
// line doesn't fit, the framer stops. A Transfer-Encoding line can be longer, because the framer needs only the header's name.
const maxFieldLine = 80

// maxHeaderFields is the largest number of fields in a header. net/http needs many times a field's size for a short field.
const maxHeaderFields = 100

// observe parses the next bytes of the connection, and returns how many of them net/http may read. If a header has too many fields,
// observe ends it after maxHeaderFields fields: it replaces the first byte of the next field by a line break, and net/http may read
// nothing behind that.
func (f *requestFramer) observe(all []byte) (readable int) {
	b := all
	for len(b) > 0 && !f.stopped {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(b)))
			f.bodyRemaining -= n
			b = b[n:]
			if f.bodyRemaining == 0 {
				f.completeRequests++
			}
			continue
		}
		if f.atExcessField(b[0]) {
			b[0] = '\n'
			f.endHead()
			f.tooManyFields, f.stopped = true, true
			return len(all) - len(b) + 1
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
	return len(all)
}

// atExcessField reports whether the next byte begins a field beyond maxHeaderFields.
func (f *requestFramer) atExcessField(next byte) bool {
	return f.inHead && f.fields == maxHeaderFields && len(f.line) == 0 && next != '\r' && next != '\n'
}

// endLine parses a complete line of a header, truncated to maxFieldLine bytes.
func (f *requestFramer) endLine(line []byte) {
	switch {
	case !f.inHead:
		f.inHead = true
	case len(line) == 0:
		f.endHead()
	default:
		f.fields++
		f.endField(line)
	}
}

// endField parses a complete field, truncated to maxFieldLine bytes.
func (f *requestFramer) endField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.headHasTransferEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.headHasContentLength, f.contentLength = true, n
		f.stopped = err != nil || n < 0 || len(line) >= maxFieldLine-1
	}
}

// endHead handles the empty line that ends a header.
func (f *requestFramer) endHead() {
	f.completeHeads++
	f.chunked, f.hasContentLength = f.headHasTransferEncoding, f.headHasContentLength
	f.stopped = f.headHasTransferEncoding
	f.bodyRemaining = f.contentLength
	if !f.stopped && f.bodyRemaining == 0 {
		f.completeRequests++
	}
	f.inHead, f.fields, f.headHasContentLength, f.headHasTransferEncoding, f.contentLength = false, 0, false, false, 0
}
