package store

import (
	"errors"
	"fmt"
)

// Segment is what a scan found of a segment.
type Segment struct {
	Name          string
	Number        uint64
	Records       int
	CompleteBytes int64 // up to the end of the last complete frame; 0 if not even the header is complete
	Torn          bool  // there is a torn tail behind them
}

// Scan reads all segments in order and calls each with every record and its size in bytes. Only the last segment may have a torn tail;
// all else that is damaged or missing is an error that says where.
func Scan(disk Disk, each func(segment uint64, r Record, size int)) (segments []Segment, err error) {
	numbers, err := segmentNumbers(disk)
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return segments, &CorruptionError{segmentName(number - 1), 0, "this segment is missing"}
		}
		last := i == len(numbers)-1
		segment, err := scanSegment(disk, number, last, func(r Record, size int) { each(number, r, size) })
		if err != nil {
			return segments, err
		}
		segments = append(segments, segment)
	}
	return segments, nil
}

// segmentNumbers are the numbers of the segments, in order.
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

func scanSegment(disk Disk, number uint64, last bool, each func(r Record, size int)) (Segment, error) {
	segment := Segment{Name: segmentName(number), Number: number}
	b, err := disk.Read(segment.Name)
	if err != nil {
		return segment, err
	}
	if err := checkSegmentHeader(b, number); err != nil {
		if last && errors.Is(err, errTorn) { // it was being started
			segment.Torn = true
			return segment, nil
		}
		return segment, fmt.Errorf("%s: %w", segment.Name, err)
	}
	offset := segmentHeaderBytes
	for offset < len(b) {
		size, err := decodeFrame(b[offset:], func(r Record, size int) {
			each(r, size)
			segment.Records++
		})
		if errors.Is(err, errTorn) && last && !containsFrame(b[offset:]) {
			segment.Torn = true
			break
		}
		if err != nil {
			return segment, &CorruptionError{segment.Name, int64(offset), err.Error()}
		}
		offset += size
	}
	segment.CompleteBytes = int64(offset)
	return segment, nil
}
