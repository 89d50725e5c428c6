package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	segmentHeaderBytes = 16
	segmentSuffix      = ".log"
	segmentDigits      = 12
	formatVersion      = 1
)

var segmentMagic = [4]byte{'b', 'r', 's', 't'}

// segmentName returns the file name of a segment.
func segmentName(number uint64) string {
	return fmt.Sprintf("%0*d%s", segmentDigits, number, segmentSuffix)
}

// segmentNumber parses the number of a segment from the segment's file name. ok is false if the name is not that of a segment.
func segmentNumber(name string) (number uint64, ok bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, ok && err == nil && len(digits) == segmentDigits
}

// encodeSegmentHeader returns the header of the segment with this number.
func encodeSegmentHeader(number uint64) []byte {
	b := append(make([]byte, 0, segmentHeaderBytes), segmentMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	return binary.LittleEndian.AppendUint64(b, number)
}

// checkSegmentHeader checks that b begins with a valid header, and that the header has the given segment number. The error is
// errTorn if the header is not complete.
func checkSegmentHeader(b []byte, number uint64) error {
	if len(b) < segmentHeaderBytes {
		return errTorn
	}
	if [4]byte(b[:4]) != segmentMagic {
		return errors.New("not a segment of a store")
	}
	if version := binary.LittleEndian.Uint32(b[4:]); version != formatVersion {
		return fmt.Errorf("format version %d, but this program reads only version %d", version, formatVersion)
	}
	if found := binary.LittleEndian.Uint64(b[8:]); found != number {
		return fmt.Errorf("the header is that of segment %d", found)
	}
	return nil
}
