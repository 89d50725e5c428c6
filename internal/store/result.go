package store

import (
	"errors"
	"fmt"
	"hash/crc32"
)

// location is where a record is on disk.
type location struct {
	segment  uint64
	offset   int64 // position of the encoded record in the segment, in bytes
	bytes    int   // size of the encoded record
	checksum uint32
}

// recordChecksum returns the checksum of an encoded record.
func recordChecksum(encoded []byte) uint32 { return crc32.Checksum(encoded, castagnoli) }

// ErrNoResult is returned for a job that has no Final record in the store.
var ErrNoResult = errors.New("the job has no final answer in the store")

// Result reads the result of a job, the body of its Final record, from disk. Results are not kept in memory, because they can be
// much larger than all else that is known of a job. The error wraps ErrNoResult if the job has no Final record.
func (s *Store) Result(id string) ([]byte, error) {
	at, ok := s.resultLocation(id)
	for ok {
		result, err := s.readResult(id, at)
		if err == nil {
			return result, nil
		}
		// Compaction may have moved the record, and removed the segment, since its location was looked up.
		before := at
		if at, ok = s.resultLocation(id); ok && at == before {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: %q", ErrNoResult, id)
}

func (s *Store) resultLocation(id string) (location, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.results[id]
	return at, ok
}

// readResult reads the Final record of a job at a location.
func (s *Store) readResult(id string, at location) ([]byte, error) {
	name := segmentName(at.segment)
	encoded, err := s.disk.ReadAt(name, at.offset, at.bytes)
	if err != nil {
		return nil, err
	}
	if recordChecksum(encoded) != at.checksum {
		return nil, &CorruptionError{name, at.offset, fmt.Sprintf("checksum mismatch in the final answer of job %q", id)}
	}
	r, _, err := decodeRecord(encoded)
	if err != nil {
		return nil, &CorruptionError{name, at.offset, err.Error()}
	}
	return r.Body, nil
}
