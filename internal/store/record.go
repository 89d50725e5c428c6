package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kind is a kind of record.
type Kind uint8

const (
	Accepted Kind = iota + 1 // a batch job was handed in
	Sent                     // an allocation is about to go out, under Epoch
	Over                     // that allocation is over; NeverRan: provably
	Final                    // its final answer
	LetGo                    // nothing of it is wanted any more
)

var kindNames = [...]string{"", "accepted", "sent", "over", "final", "let go"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Record is what stands on the disk of one step of a batch job. Which fields count hangs on its kind. Times are times of day.
type Record struct {
	Kind Kind      `cbor:"1,keyasint"`
	ID   string    `cbor:"2,keyasint"`
	At   time.Time `cbor:"3,keyasint"`

	Track       string        `cbor:"4,keyasint,omitempty"`
	Limit       time.Time     `cbor:"5,keyasint,omitzero"` // of Accepted: the outer limit
	Work        time.Duration `cbor:"6,keyasint,omitempty"`
	URI         string        `cbor:"7,keyasint,omitempty"`
	Host        string        `cbor:"8,keyasint,omitempty"`
	ContentType string        `cbor:"9,keyasint,omitempty"`
	Tag         string        `cbor:"10,keyasint,omitempty"`
	Body        []byte        `cbor:"11,keyasint,omitempty"` // of Accepted, or the result of Final

	Epoch    uint32 `cbor:"12,keyasint,omitempty"`
	Executor string `cbor:"13,keyasint,omitempty"`
	NeverRan bool   `cbor:"14,keyasint,omitempty"`
	Answer   uint8  `cbor:"15,keyasint,omitempty"` // of Final: its kind, as package node counts them
}

// What is synced together stands as one frame: a mark, its length, the checksum of length and bytes, and its records one behind the other. A frame is
// whole or counts for nothing, so a disk that writes its pages in any order can't bring back a part of what was never acknowledged. A segment begins
// with magic, version and number.
const (
	frameHeaderBytes   = 12
	maxRecordBytes     = 1 << 20
	maxFrameBytes      = 1 << 28
	segmentHeaderBytes = 16
	formatVersion      = 1
)

var (
	segmentMagic   = [4]byte{'b', 'r', 's', 't'}
	frameMagic     = [4]byte{0xf7, 'f', 'r', 0x9d}
	castagnoli     = crc32.MakeTable(crc32.Castagnoli)
	recordEncoding = func() cbor.EncMode {
		m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
		if err != nil {
			panic(err) // of options that never change
		}
		return m
	}()
)

// errTorn: what stands there is no whole frame.
var errTorn = errors.New("no whole frame")

// appendRecord writes a record behind b.
func appendRecord(b []byte, r Record) ([]byte, error) {
	text, err := recordEncoding.Marshal(r)
	if err != nil {
		return b, err
	}
	if len(text) > maxRecordBytes {
		return b, fmt.Errorf("a record of %d bytes: over %d", len(text), maxRecordBytes)
	}
	return append(b, text...), nil
}

// encodeFrame puts records together.
func encodeFrame(records []byte) []byte {
	b := make([]byte, 0, frameHeaderBytes+len(records))
	b = append(b, frameMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Update(crc32.Checksum(b[4:8], castagnoli), castagnoli, records))
	return append(b, records...)
}

// decodeFrame reads the frame at the front of b, hands its records on with their sizes, and says how long it is.
func decodeFrame(b []byte, each func(Record, int)) (size int, err error) {
	if len(b) < frameHeaderBytes || [4]byte(b[:4]) != frameMagic {
		return 0, errTorn
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length == 0 || length > maxFrameBytes || int(length) > len(b)-frameHeaderBytes {
		return 0, errTorn
	}
	rest := b[frameHeaderBytes : frameHeaderBytes+int(length)]
	if crc32.Update(crc32.Checksum(b[4:8], castagnoli), castagnoli, rest) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, errTorn
	}
	for len(rest) > 0 {
		var r Record
		after, err := cbor.UnmarshalFirst(rest, &r)
		if err != nil {
			return 0, fmt.Errorf("a frame whose checksum holds makes no sense: %w", err)
		}
		if r.Kind < Accepted || r.Kind > LetGo || r.ID == "" {
			return 0, fmt.Errorf("a record whose checksum holds is of kind %d and about %q", r.Kind, r.ID)
		}
		each(r, len(rest)-len(after))
		rest = after
	}
	return frameHeaderBytes + int(length), nil
}

func appendSegmentHeader(b []byte, number uint64) []byte {
	b = append(b, segmentMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	return binary.LittleEndian.AppendUint64(b, number)
}

func checkSegmentHeader(b []byte, number uint64) error {
	switch {
	case len(b) < segmentHeaderBytes:
		return errTorn
	case [4]byte(b[:4]) != segmentMagic:
		return errors.New("it is no segment of a store")
	case binary.LittleEndian.Uint32(b[4:]) != formatVersion:
		return fmt.Errorf("it is of version %d, and this program reads version %d", binary.LittleEndian.Uint32(b[4:]), formatVersion)
	case binary.LittleEndian.Uint64(b[8:]) != number:
		return fmt.Errorf("it says that it is segment %d", binary.LittleEndian.Uint64(b[8:]))
	}
	return nil
}
