package frontend

import (
	"errors"
	"io"
)

const (
	// bodyMemoryDivisor is what the node's memory is divided by to get the memory for the request bodies of all connections.
	bodyMemoryDivisor = 4
	// firstBodyBytes is the memory that a body gets before its first byte has come. It then grows by bodyGrowth, so that a client
	// that announces a large body and does not send it takes little.
	firstBodyBytes = 4 << 10
	bodyGrowth     = 4
)

// Errors of requestBody.read. Any other error means that the body did not arrive completely.
var (
	errBodyTooLarge = errors.New("the body is too large")
	errBodyMemory   = errors.New("the bodies of all requests take too much memory")
)

// requestBody is the body of a request, in memory that is reserved in the budget.
type requestBody struct {
	budget   *byteBudget
	data     []byte
	reserved int64
}

// read reads a body of this length, or of an unknown length if it is negative.
func (b *requestBody) read(from io.Reader, length int64) error {
	if length > maxBodyBytes {
		return errBodyTooLarge
	}
	limit := length
	if length < 0 {
		limit = maxBodyBytes + 1 // one byte more than allowed shows that the body is too large
	}
	err := b.readUpTo(from, limit)
	switch {
	case length < 0 && len(b.data) > maxBodyBytes:
		return errBodyTooLarge
	case errors.Is(err, io.EOF) && (length < 0 || int64(len(b.data)) == length):
		return nil
	}
	return err
}

// readUpTo reads until the body has this many bytes, or until an error.
func (b *requestBody) readUpTo(from io.Reader, limit int64) error {
	for int64(len(b.data)) < limit {
		if len(b.data) == cap(b.data) {
			if err := b.grow(limit); err != nil {
				return err
			}
		}
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// grow makes room for more bytes, up to limit in total.
func (b *requestBody) grow(limit int64) error {
	size := min(limit, max(firstBodyBytes, int64(cap(b.data))*bodyGrowth))
	if !b.budget.reserve(size - b.reserved) {
		return errBodyMemory
	}
	b.reserved = size
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// release drops the body and returns its memory to the budget.
func (b *requestBody) release() {
	b.budget.release(b.reserved)
	b.data, b.reserved = nil, 0
}
