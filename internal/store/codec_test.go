package store

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// recordTime is the time of the records of the tests. Records keep microseconds.
var recordTime = time.UnixMicro(1_700_000_000_000_001).UTC()

// latin1 is a legal value of an HTTP header that is not UTF-8.
const latin1 = "text/plain; name=\"Tabelid-J\xf5gi\""

// recordWithText returns a record in which every text field holds this value.
func recordWithText(value string) Record {
	return Record{
		Kind:           Accepted,
		ID:             value,
		At:             recordTime,
		JobClass:       value,
		Deadline:       recordTime.Add(time.Hour),
		Work:           time.Millisecond,
		URI:            value,
		Host:           value,
		ContentType:    value,
		IdempotencyKey: value,
		Body:           []byte(value),
		Epoch:          1,
		Executor:       value,
		NeverRan:       true,
		Outcome:        2,
		RetryTerms:     &RetryTerms{Idempotency: 1, DedupGroup: 2, DedupWindow: 7500 * time.Millisecond},
		Lease:          value,
	}
}

// roundTrip encodes a record, checks that the bytes are valid CBOR in which all text is UTF-8, and decodes them.
func roundTrip(t *testing.T, r Record) Record {
	t.Helper()
	b, err := appendRecord(nil, r)
	if err != nil {
		t.Fatalf("encode %+v: %v", r, err)
	}
	var generic map[int]any
	if err := cbor.Unmarshal(b, &generic); err != nil { // the library rejects text that is not UTF-8 by default
		t.Errorf("the encoding of %+v is not valid CBOR: %v", r, err)
	}
	decoded, rest, err := decodeRecord(b)
	if err != nil || len(rest) > 0 {
		t.Fatalf("decode the encoding of %+v: error %v, %d bytes left", r, err, len(rest))
	}
	return withExactTimes(decoded)
}

// withExactTimes rounds the times of a decoded record, which are stored as floating-point seconds, to microseconds.
func withExactTimes(r Record) Record {
	r.At, r.Deadline = r.At.UTC().Round(time.Microsecond), r.Deadline.UTC().Round(time.Microsecond)
	return r
}

// TestTextThatIsNotUTF8 guards against a store that can't be opened again: a text field that is not UTF-8 was encoded without an
// error, and the decoder rejected the whole segment.
func TestTextThatIsNotUTF8(t *testing.T) {
	for _, value := range []string{latin1, "\xff", "caf\xe9", "\xc3", "\xed\xa0\x80", "a\x00b", "\ufffd", "jõgi"} {
		if r := recordWithText(value); !reflect.DeepEqual(roundTrip(t, r), r) {
			t.Errorf("%q: decoded %+v, want %+v", value, roundTrip(t, r), r)
		}
	}
}

// earlierRecord is the encoding of a record by versions that wrote every text field as a CBOR text string, even if it was not
// UTF-8.
type earlierRecord struct {
	Kind           Kind          `cbor:"1,keyasint"`
	ID             string        `cbor:"2,keyasint"`
	At             time.Time     `cbor:"3,keyasint"`
	JobClass       string        `cbor:"4,keyasint,omitempty"`
	Deadline       time.Time     `cbor:"5,keyasint,omitzero"`
	Work           time.Duration `cbor:"6,keyasint,omitempty"`
	URI            string        `cbor:"7,keyasint,omitempty"`
	Host           string        `cbor:"8,keyasint,omitempty"`
	ContentType    string        `cbor:"9,keyasint,omitempty"`
	IdempotencyKey string        `cbor:"10,keyasint,omitempty"`
	Body           []byte        `cbor:"11,keyasint,omitempty"`
	Epoch          uint32        `cbor:"12,keyasint,omitempty"`
	Executor       string        `cbor:"13,keyasint,omitempty"`
	NeverRan       bool          `cbor:"14,keyasint,omitempty"`
	Outcome        uint8         `cbor:"15,keyasint,omitempty"`
}

func encodeEarlier(t testing.TB, r Record) []byte {
	t.Helper()
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	b, err := mode.Marshal(earlierRecord{Kind: r.Kind, ID: r.ID, At: r.At, JobClass: r.JobClass, Deadline: r.Deadline, Work: r.Work, URI: r.URI,
		Host: r.Host, ContentType: r.ContentType, IdempotencyKey: r.IdempotencyKey, Body: r.Body, Epoch: r.Epoch, Executor: r.Executor,
		NeverRan: r.NeverRan, Outcome: r.Outcome})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestEarlierText guards against an upgrade that can't open the directory: an earlier version has written text strings that are
// not UTF-8. Their bytes must be read as they were accepted. Text that is UTF-8 keeps its encoding, so that an earlier version
// can read it.
func TestEarlierText(t *testing.T) {
	for _, value := range []string{latin1, "\xff", "jõgi", "plain"} {
		r := recordWithText(value)
		r.RetryTerms, r.Lease = nil, "" // earlier versions had none
		earlier := encodeEarlier(t, r)
		decoded, _, err := decodeRecord(earlier)
		if err != nil {
			t.Errorf("%q: decode a record of an earlier version: %v", value, err)
			continue
		}
		if decoded = withExactTimes(decoded); !reflect.DeepEqual(decoded, r) {
			t.Errorf("%q: decoded %+v, want %+v", value, decoded, r)
		}
		if b, err := appendRecord(nil, r); utf8.ValidString(value) && (err != nil || string(b) != string(earlier)) {
			t.Errorf("%q: encoded as %x, error %v, want %x", value, b, err, earlier)
		}
	}
}

// TestEarlierDirectory guards against a start that fails on the directory of an earlier version: a frame in its first segment
// holds text that is not UTF-8.
func TestEarlierDirectory(t *testing.T) {
	dir := t.TempDir()
	segment := encodeSegmentHeader(1)
	want := map[string]Record{}
	for i, contentType := range []string{"text/plain", latin1, "text/html"} {
		r := Record{Kind: Accepted, ID: fmt.Sprint("job-", i), At: recordTime, JobClass: "page", ContentType: contentType, Body: []byte("body")}
		segment = append(segment, encodeFrame(encodeEarlier(t, r))...)
		want[r.ID] = r
	}
	if err := os.WriteFile(dir+"/"+segmentName(1), segment, fileMode); err != nil {
		t.Fatal(err)
	}
	segments, err := Scan(Directory(dir), func(uint64, Record, int) {})
	if err != nil || len(segments) != 1 || segments[0].EarlierText != 1 || segments[0].EarlierFrames != 0 {
		t.Errorf("scanned %+v, error %v, want one record with earlier text", segments, err)
	}
	for _, step := range []string{"opened", "compacted and opened again"} {
		s, err := Open(Directory(dir), Options{SegmentBytes: 1 << 20})
		if err != nil {
			t.Fatalf("%s: %v", step, err)
		}
		for id, r := range want {
			found, ok := s.Get(id)
			if !ok || found.Accepted.ContentType != r.ContentType || string(found.Accepted.Body) != string(r.Body) {
				t.Errorf("%s: job %s is %+v, want %+v", step, id, found.Accepted, r)
			}
		}
		if err := s.Compact(nil); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestUndecodableRecordIsNamed guards against damage that an operator can't trace to a job: a frame is intact, but a record in its
// midst can't be decoded, such as one of a later version. The error names the segment, the record's first byte and the job.
func TestUndecodableRecordIsNamed(t *testing.T) {
	dir := t.TempDir()
	valid, err := appendRecord(nil, Record{Kind: Accepted, ID: "job-1", At: recordTime})
	if err != nil {
		t.Fatal(err)
	}
	undecodable, err := cbor.Marshal(map[int]any{1: 1, 2: "job-2", 3: "yesterday"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		damage   []byte
		wantText string
	}{
		{"a time that is none", undecodable, `a record of job "job-2" can't be decoded`},
		{"no record", []byte{0xff}, `a record of job "" can't be decoded`},
		{"no ID", []byte{0xa1, 1, 1}, `a record is invalid: kind 1, job ""`},
	} {
		first := encodeFrame(valid)
		second := encodeFrame(slices.Concat(valid, c.damage, valid))
		if err := os.WriteFile(dir+"/"+segmentName(1), slices.Concat(encodeSegmentHeader(1), first, second), fileMode); err != nil {
			t.Fatal(err)
		}
		_, err := Open(Directory(dir), Options{SegmentBytes: 1 << 20})
		var corruption *CorruptionError
		at := int64(segmentHeaderBytes + len(first) + frameHeaderBytes + len(valid))
		if !errors.As(err, &corruption) || corruption.Segment != segmentName(1) || corruption.Offset != at || !strings.Contains(corruption.Reason, c.wantText) {
			t.Errorf("%s: error %v, want one at byte %d that says %s", c.name, err, at, c.wantText)
		}
	}
}

// FuzzRecord checks that every record that can be encoded is decoded to the same record, so that nothing is acknowledged that
// the next start can't read.
func FuzzRecord(f *testing.F) {
	for _, text := range []string{"job-1", latin1, "", "a\r\nb", strings.Repeat("x", 300)} {
		f.Add(uint8(1), text, text, text, []byte(text), int64(1_700_000_000_000_000), int64(1000), uint32(1), uint8(3), true)
	}
	f.Add(uint8(9), "job-1", "", "", []byte(nil), int64(0), int64(-1), uint32(0), uint8(0), false)
	f.Fuzz(func(t *testing.T, kind uint8, id, header, executor string, body []byte, micros, work int64, epoch uint32, outcome uint8, neverRan bool) {
		const maxMicros = 1 << 52 // times beyond the year 2112 lose precision as floating-point seconds
		at := time.UnixMicro(micros % maxMicros).UTC()
		if len(body) == 0 {
			body = nil // an empty body is not encoded
		}
		r := Record{Kind: Kind(kind), ID: id, At: at, JobClass: header, Work: time.Duration(work), URI: header, Host: header, ContentType: header,
			IdempotencyKey: header, Body: body, Epoch: epoch, Executor: executor, NeverRan: neverRan, Outcome: outcome}
		if neverRan {
			r.RetryTerms, r.Lease = &RetryTerms{Idempotency: outcome, DedupGroup: kind, DedupWindow: time.Duration(work)}, executor
		}
		b, err := appendRecord(nil, r)
		if err != nil {
			return
		}
		decoded, rest, err := decodeRecord(b)
		if err != nil || len(rest) > 0 {
			t.Fatalf("%+v was encoded as %s, but decoding returned error %v and %d more bytes", r, hex.EncodeToString(b), err, len(rest))
		}
		if drift := decoded.At.Sub(at).Abs(); drift > time.Microsecond {
			t.Errorf("time %v was decoded as %v", at, decoded.At)
		}
		decoded.At = at
		if !reflect.DeepEqual(decoded, r) {
			t.Errorf("decoded %+v, want %+v", decoded, r)
		}
	})
}

// TestRetryTermsEncoding pins the bytes of the terms in a record. The golden directories are those of versions without terms.
func TestRetryTermsEncoding(t *testing.T) {
	r := Record{Kind: Accepted, ID: "a", At: time.UnixMicro(0).UTC(), RetryTerms: &RetryTerms{Idempotency: 1, DedupGroup: 2, DedupWindow: 7500 * time.Millisecond}}
	b, err := appendRecord(nil, r)
	const want = "a4" + "0101" + "026161" + "03fb0000000000000000" + "10" + "8301021b00000001bf08eb00"
	if err != nil || hex.EncodeToString(b) != want {
		t.Errorf("encoded as %x, error %v, want %s", b, err, want)
	}
}

// TestLeaseEncoding pins the bytes of the lease in a record. The golden directories are those of versions without leases.
func TestLeaseEncoding(t *testing.T) {
	r := Record{Kind: AttemptStarted, ID: "a", At: time.UnixMicro(0).UTC(), Epoch: 1, Executor: "e", Lease: "durable-a-X"}
	b, err := appendRecord(nil, r)
	const want = "a6" + "0102" + "026161" + "03fb0000000000000000" + "0c01" + "0d6165" + "11" + "6b64757261626c652d612d58"
	if err != nil || hex.EncodeToString(b) != want {
		t.Errorf("encoded as %x, error %v, want %s", b, err, want)
	}
}

// TestCompactionKeepsLeases guards against a lease that is forgotten when a compaction writes a job's records again: the executor would then
// be asked about a name that it doesn't know, and the job would run twice.
func TestCompactionKeepsLeases(t *testing.T) {
	states := JobStates{}
	for _, r := range []Record{
		{Kind: Accepted, ID: "a", At: recordTime},
		{Kind: AttemptStarted, ID: "a", At: recordTime, Epoch: 1, Executor: "e"}, // of an earlier version
		{Kind: AttemptEnded, ID: "a", At: recordTime, Epoch: 1, NeverRan: true},
		{Kind: AttemptStarted, ID: "a", At: recordTime, Epoch: 2, Executor: "e", Lease: "durable-a-X"},
	} {
		states.Apply(r)
	}
	rewritten := JobStates{}
	for _, r := range states["a"].Records() {
		rewritten.Apply(r)
	}
	if got, want := rewritten["a"].Attempts, states["a"].Attempts; !reflect.DeepEqual(got, want) || got[1].Lease != "durable-a-X" {
		t.Errorf("attempts after a compaction: %+v, want %+v", got, want)
	}
}
