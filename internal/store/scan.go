package store

import (
	"errors"
	"fmt"
)

// Segment describes a segment that was scanned.
type Segment struct {
	Name          string // file name of the segment
	Number        uint64
	Records       int   // number of records in complete frames
	CompleteBytes int64 // size up to the end of the last complete frame; 0 if the segment's header is incomplete
	Torn          bool  // the last frame or the segment's header is incomplete

	// What only earlier versions wrote, and this version reads.
	EarlierText   int // number of records with text strings that are not UTF-8
	EarlierFrames int // number of frames that are larger than those of this version
}

// Scan reads all segments in order and calls visit with every record and the record's size in bytes. A torn tail is allowed only in
// the last segment. If anything else is damaged or missing, the error names the segment.
func Scan(disk Disk, visit func(segment uint64, r Record, size int)) (segments []Segment, err error) {
	return scan(disk, func(at location, r Record) { visit(at.segment, r, at.bytes) })
}

// scan is like Scan, and calls visit with the location of each record.
func scan(disk Disk, visit func(at location, r Record)) (segments []Segment, err error) {
	numbers, err := segmentNumbers(disk)
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return segments, &CorruptionError{segmentName(number - 1), 0, "this segment is missing"}
		}
		last := i == len(numbers)-1
		segment, err := scanSegment(disk, number, last, visit)
		if err != nil {
			return segments, err
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// segmentNumbers returns the numbers of the segments on a disk, in ascending order.
func segmentNumbers(disk Disk) (numbers []uint64, err error) {
	names, err := disk.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

func scanSegment(disk Disk, number uint64, last bool, visit func(at location, r Record)) (Segment, error) {
	segment := Segment{Name: segmentName(number), Number: number}
	b, err := disk.Read(segment.Name)
	if err != nil {
		return segment, err
	}
	if err := checkSegmentHeader(b, number); err != nil {
		if last && errors.Is(err, errTorn) { // the process crashed while it was creating the segment
			segment.Torn = true
			return segment, nil
		}
		return segment, fmt.Errorf("%s: %w", segment.Name, err)
	}
	offset := segmentHeaderBytes
	for offset < len(b) {
		next := int64(offset + frameHeaderBytes)
		size, err := decodeFrame(b[offset:], func(r Record, encoded []byte) {
			visit(location{number, next, len(encoded), recordChecksum(encoded)}, r)
			next += int64(len(encoded))
			segment.Records++
			if !r.isUTF8() && isEarlierEncoding(encoded) {
				segment.EarlierText++
			}
		})
		if errors.Is(err, errTorn) && last && !containsFrame(b[offset:]) {
			segment.Torn = true
			break
		}
		if err != nil {
			return segment, &CorruptionError{segment.Name, int64(offset + size), err.Error()}
		}
		if size > maxFrameBytes+frameHeaderBytes {
			segment.EarlierFrames++
		}
		offset += size
	}
	segment.CompleteBytes = int64(offset)
	return segment, nil
}
