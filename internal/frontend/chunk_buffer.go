package frontend

// chunkBytes is the size of a chunk of a chunkBuffer, in bytes.
const chunkBytes = 4 << 10

// chunkBuffer is a queue of bytes in chunks of one size, so that it takes no more memory than chunks says.
type chunkBuffer struct {
	chunks  [][]byte // chunks with unread bytes; each but the last is filled up to its capacity
	readPos int      // number of bytes of the first chunk that were read
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

// commit adds the first n bytes of the space that space returned to the queue. If the last chunk stays empty, it is removed.
func (b *chunkBuffer) commit(n int) {
	last := len(b.chunks) - 1
	if b.chunks[last] = b.chunks[last][:len(b.chunks[last])+n]; len(b.chunks[last]) == 0 {
		b.chunks = b.chunks[:last]
	}
}

// read moves the oldest bytes into p, and returns their number.
func (b *chunkBuffer) read(p []byte) (n int) {
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
