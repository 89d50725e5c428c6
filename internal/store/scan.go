package store

import (
	"bytes"
	"errors"
	"fmt"
)

// Segment is what a scan found of a segment.
type Segment struct {
	Name          string
	Number        uint64
	Records       int
	CompleteBytes int64 // bytes up to the end of the last whole frame
	Torn          bool  // and something behind it that is none
}

// Scan reads all segments in order and hands each record on. Only the last segment's end may be torn; all else that is damaged or missing is an
// error that says where.
func Scan(disk Disk, each func(segment uint64, r Record, size int)) (all []Segment, err error) {
	names, err := disk.List()
	if err != nil {
		return nil, err
	}
	var numbers []uint64
	for _, n := range names {
		if number, ok := segmentNumber(n); ok {
			numbers = append(numbers, number)
		}
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return all, &CorruptionError{segmentName(number - 1), 0, "this segment is missing"}
		}
		seg, err := scanSegment(disk, number, i == len(numbers)-1, each)
		if err != nil {
			return all, err
		}
		all = append(all, seg)
	}
	return all, nil
}

func scanSegment(disk Disk, number uint64, last bool, each func(uint64, Record, int)) (Segment, error) {
	seg := Segment{Name: segmentName(number), Number: number}
	b, err := disk.Read(seg.Name)
	if err != nil {
		return seg, err
	}
	if err := checkSegmentHeader(b, number); err != nil {
		if last && errors.Is(err, errTorn) { // it was being begun
			seg.Torn = true
			return seg, nil
		}
		return seg, fmt.Errorf("%s: %w", seg.Name, err)
	}
	at := segmentHeaderBytes
	for at < len(b) {
		size, err := decodeFrame(b[at:], func(r Record, size int) {
			each(number, r, size)
			seg.Records++
		})
		if errors.Is(err, errTorn) && last && !containsFrame(b[at:]) {
			seg.Torn = true
			break
		}
		if err != nil {
			return seg, &CorruptionError{seg.Name, int64(at), err.Error()}
		}
		at += size
	}
	seg.CompleteBytes = int64(at)
	return seg, nil
}

// containsFrame says whether a whole frame stands anywhere behind a place that holds none: then that is no torn end, as nothing is written before what was
// written earlier has been synced.
func containsFrame(b []byte) bool {
	for i := 1; ; {
		next := bytes.Index(b[i:], frameMagic[:])
		if next < 0 {
			return false
		}
		if _, err := decodeFrame(b[i+next:], func(Record, int) {}); err == nil {
			return true
		}
		i += next + 1
	}
}
