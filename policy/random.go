package policy

import (
	"encoding/binary"
	"hash/crc32"
	"math"
)

// randomSource generates the dispatcher's random numbers. The same seed always gives the same sequence.
type randomSource struct{ seed, count uint32 }

// next returns the next random number, from 0 to 1.
func (r *randomSource) next() float64 {
	r.count++
	return Random(r.seed, r.count)
}

// Random returns the random number, from 0 to 1, that belongs to a seed and a counter.
func Random(seed, count uint32) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint32(key[:4], seed)
	binary.LittleEndian.PutUint32(key[4:], count)
	return float64(crc32.ChecksumIEEE(key[:])) / math.MaxUint32
}
