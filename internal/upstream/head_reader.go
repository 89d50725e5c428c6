package upstream

import (
	"fmt"
	"io"
)

// maxHeaderFields is the largest number of fields in the header of a response. net/http needs many times a field's size for a short
// field.
const maxHeaderFields = 100

// errTooManyFields means that the header of a response has more than maxHeaderFields fields.
var errTooManyFields = fmt.Errorf("over %d header fields", maxHeaderFields)

// headReader reads the bytes of responses, and fails in a header with too many fields, before net/http allocates memory for them.
type headReader struct {
	from      io.Reader
	inHead    bool // the next bytes belong to a header
	lines     int  // number of lines of the header that were read completely
	lineBytes int  // number of bytes of the line that is being read, without carriage returns
}

// begin says that the next bytes are the beginning of a response.
func (r *headReader) begin() { r.inHead, r.lines, r.lineBytes = true, 0, 0 }

// Read implements io.Reader. After the last field that is allowed, it fails with errTooManyFields.
func (r *headReader) Read(p []byte) (n int, err error) {
	if r.tooManyFields() {
		return 0, errTooManyFields
	}
	n, err = r.from.Read(p)
	if readable := r.parse(p[:n]); readable < n {
		return readable, nil
	}
	return n, err
}

// parse counts the lines of a header up to its end, and returns how many of the bytes come before a field that is not allowed.
func (r *headReader) parse(b []byte) (readable int) {
	for i, char := range b {
		switch {
		case !r.inHead:
			return len(b)
		case char == '\n' && r.lineBytes == 0:
			r.inHead = false
		case char == '\n':
			r.lines, r.lineBytes = r.lines+1, 0
		case char != '\r':
			r.lineBytes++
		}
		if r.tooManyFields() {
			return i
		}
	}
	return len(b)
}

// tooManyFields reports whether a field beyond those that are allowed has been read.
func (r *headReader) tooManyFields() bool {
	const statusLine = 1
	return r.inHead && r.lines > statusLine+maxHeaderFields
}
