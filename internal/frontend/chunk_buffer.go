package frontend

import "time"

// arrivalResolution is how far apart two commits can be and still count as one arrival.
const arrivalResolution = 10 * time.Millisecond

// chunkBytes is the size of a chunk of a chunkBuffer, in bytes.
const chunkBytes = 4 << 10

// chunkBuffer is a queue of bytes in chunks of one size, so that it takes no more memory than chunks says. It knows when the bytes
// arrived.
type chunkBuffer struct {
	chunks   [][]byte  // chunks with unread bytes; each but the last is filled up to its capacity
	readPos  int       // number of bytes of the first chunk that were read
	arrivals []arrival // arrivals of the unread bytes, in their order
}

// arrival is a number of unread bytes that arrived at about the same time.
type arrival struct {
	at    time.Time // time of the first of them
	bytes int
}

// empty reports whether there are no unread bytes.
func (b *chunkBuffer) empty() bool { return len(b.chunks) == 0 }

// memory returns how many bytes of memory the buffer takes.
func (b *chunkBuffer) memory() int { return len(b.chunks) * chunkBytes }

// full reports whether space would add a chunk.
func (b *chunkBuffer) full() bool {
	return len(b.chunks) == 0 || len(b.chunks[len(b.chunks)-1]) == chunkBytes
}

// space returns where the next bytes can be written, and adds a chunk if the last one is full. commit must follow.
func (b *chunkBuffer) space() []byte {
	if b.full() {
		b.chunks = append(b.chunks, make([]byte, 0, chunkBytes))
	}
	last := b.chunks[len(b.chunks)-1]
	return last[len(last):chunkBytes]
}

// commit adds the first n bytes of the space that space returned to the queue, as bytes that arrive now. If the last chunk stays empty,
// it is removed.
func (b *chunkBuffer) commit(n int, now time.Time) {
	if last := len(b.arrivals) - 1; last >= 0 && now.Sub(b.arrivals[last].at) < arrivalResolution {
		b.arrivals[last].bytes += n
	} else if n > 0 {
		b.arrivals = append(b.arrivals, arrival{now, n})
	}
	last := len(b.chunks) - 1
	if b.chunks[last] = b.chunks[last][:len(b.chunks[last])+n]; len(b.chunks[last]) == 0 {
		b.chunks = b.chunks[:last]
	}
}

// read moves the oldest bytes into p, as many as have arrived at about the same time, and returns their number and that time.
func (b *chunkBuffer) read(p []byte) (n int, at time.Time) {
	if len(b.arrivals) == 0 {
		return 0, at
	}
	oldest := &b.arrivals[0]
	n = b.move(p[:min(len(p), oldest.bytes)])
	at = oldest.at
	if oldest.bytes -= n; oldest.bytes == 0 {
		b.arrivals = b.arrivals[1:]
	}
	return n, at
}

// move moves the oldest bytes into p, and returns their number.
func (b *chunkBuffer) move(p []byte) (n int) {
	for n < len(p) && len(b.chunks) > 0 {
		first := b.chunks[0]
		copied := copy(p[n:], first[b.readPos:])
		n += copied
		if b.readPos += copied; b.readPos == len(first) {
			b.chunks[0] = nil
			b.chunks, b.readPos = b.chunks[1:], 0
		}
	}
	return n
}
