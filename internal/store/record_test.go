package store

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// TestGoldenFrames checks that decoding and encoding the frames of the golden segment gives the same bytes.
func TestGoldenFrames(t *testing.T) {
	text, err := os.ReadFile("testdata/written.txt")
	if err != nil {
		t.Fatal(err)
	}
	const columns = len("00000000  00 01 02 03 04 05 06 07  08 09 0a 0b 0c 0d 0e 0f ")
	var segment []byte
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "file ") || len(line) < columns {
			continue
		}
		b, err := hex.DecodeString(strings.ReplaceAll(line[8:columns], " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		segment = append(segment, b...)
	}
	if err := checkSegmentHeader(segment, 1); err != nil {
		t.Fatal(err)
	}
	reencoded := encodeSegmentHeader(1)
	for at := segmentHeaderBytes; at < len(segment); {
		var records []byte
		size, err := decodeFrame(segment[at:], func(r Record, encoded []byte) {
			before := len(records)
			if records, err = appendRecord(records, r); err != nil {
				t.Fatal(err)
			}
			if len(records)-before != len(encoded) {
				t.Errorf("record %s of %s: encoded in %d bytes, want %d", r.Kind, r.ID, len(records)-before, len(encoded))
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		reencoded = append(reencoded, encodeFrame(records)...)
		at += size
	}
	if string(reencoded) != string(segment) {
		t.Errorf("encoded again:\n%swant:\n%s", hex.Dump(reencoded), hex.Dump(segment))
	}
}
