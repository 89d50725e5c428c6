package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	frameHeaderBytes = 12      // size of magic, length and checksum
	maxFrameBytes    = 4 << 20 // largest size of the records of a frame that is written; earlier versions wrote larger frames
)

var (
	frameMagic = [4]byte{0xf7, 'f', 'r', 0x9d}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// checksum returns the checksum of a frame. It covers the encoded length and the encoded records.
func checksum(length, records []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, records)
}

// frameBuilder collects the encoded records of a frame.
type frameBuilder struct {
	maxBytes  int // largest size of the records
	records   []byte
	locations []location // locations of the records in the frame: the offsets count from the frame's start
}

// add appends a record. The error is errFrameFull if the record needs a new frame, or wraps ErrInvalidRecord. The frame does not
// change on an error.
func (f *frameBuilder) add(r Record) error {
	records, err := appendRecord(f.records, r)
	if err != nil {
		return err
	}
	if len(records) > f.maxBytes {
		return errFrameFull
	}
	encoded := records[len(f.records):]
	at := location{offset: int64(frameHeaderBytes + len(f.records)), bytes: len(encoded), checksum: recordChecksum(encoded)}
	f.records, f.locations = records, append(f.locations, at)
	return nil
}

// take returns the encoded frame and the locations of its records, and empties the builder.
func (f *frameBuilder) take() (frame []byte, locations []location) {
	frame, locations = encodeFrame(f.records), f.locations
	f.records, f.locations = f.records[:0], nil
	return frame, locations
}

// encodeFrame encodes a frame that holds the given encoded records.
func encodeFrame(records []byte) []byte {
	b := make([]byte, 0, frameHeaderBytes+len(records))
	b = append(b, frameMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[4:8], records))
	return append(b, records...)
}

// decodeFrame decodes the frame at the start of b and returns the frame's size in bytes. It calls visit with each record of the
// frame and the record's encoding. The error is errTorn if b doesn't start with a complete frame with a correct checksum. If a
// record can't be decoded, size is the offset of that record.
func decodeFrame(b []byte, visit func(r Record, encoded []byte)) (size int, err error) {
	records, ok := frameRecords(b)
	if !ok {
		return 0, errTorn
	}
	for rest := records; len(rest) > 0; {
		r, after, err := decodeRecord(rest)
		if err != nil {
			return frameHeaderBytes + len(records) - len(rest), err
		}
		visit(r, rest[:len(rest)-len(after)])
		rest = after
	}
	return frameHeaderBytes + len(records), nil
}

// frameRecords returns the encoded records of the frame at the start of b. ok is false if there is no complete frame with a
// correct checksum.
func frameRecords(b []byte) (records []byte, ok bool) {
	if len(b) < frameHeaderBytes || [4]byte(b[:4]) != frameMagic {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length == 0 || int(length) > len(b)-frameHeaderBytes {
		return nil, false
	}
	records = b[frameHeaderBytes : frameHeaderBytes+int(length)]
	return records, checksum(b[4:8], records) == binary.LittleEndian.Uint32(b[8:])
}

// containsFrame reports whether a complete, valid frame begins anywhere in b after the first byte. If such a frame follows a
// damaged frame, the damage is not a torn tail, because a frame is written only after the previous frame was synced.
func containsFrame(b []byte) bool {
	for at := 1; ; {
		next := bytes.Index(b[at:], frameMagic[:])
		if next < 0 {
			return false
		}
		if _, err := decodeFrame(b[at+next:], func(Record, []byte) {}); err == nil {
			return true
		}
		at += next + 1
	}
}
