package benchwire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"birchstair/internal/config"
)

// fields holds the name=value pairs of one line. They point into the line, and are valid until the next line is parsed.
type fields struct {
	pairs []pair
}

type pair struct{ key, value []byte }

// parse splits a line into its fields, and returns the name of its message.
func (f *fields) parse(line []byte) (name string, err error) {
	f.pairs = f.pairs[:0]
	message, rest, _ := bytes.Cut(line, []byte{' '})
	for len(rest) > 0 {
		equals := bytes.IndexByte(rest, '=')
		if equals <= 0 || bytes.IndexByte(rest[:equals], ' ') >= 0 {
			return "", fmt.Errorf("malformed line: no name=value in %q", clip(rest))
		}
		key, value := rest[:equals], rest[equals+1:]
		rest = nil
		if string(key) != fieldSettings { // the settings are JSON, which ends with the line
			value, rest, _ = bytes.Cut(value, []byte{' '})
		}
		f.pairs = append(f.pairs, pair{key, value})
	}
	return messageName(message), nil
}

// frequentMessages are the messages whose names messageName returns without an allocation.
var frequentMessages = [...]string{msgSync, msgCommit, msgAttemptEnded, msgHeartbeat, msgSubmit, msgReminder, msgEntry}

func messageName(message []byte) string {
	for _, name := range frequentMessages {
		if string(message) == name {
			return name
		}
	}
	return string(message)
}

// maxQuoted is how many bytes of a malformed text an error quotes.
const maxQuoted = 40

func clip(text []byte) []byte { return text[:min(len(text), maxQuoted)] }

// get returns the value of a field, and whether the line has the field.
func (f *fields) get(key string) (value []byte, ok bool) {
	for _, p := range f.pairs {
		if string(p.key) == key {
			return p.value, true
		}
	}
	return nil, false
}

// required returns the value of a field, and an error if the field is missing or empty.
func (f *fields) required(key string) ([]byte, error) {
	value, ok := f.get(key)
	if !ok || len(value) == 0 {
		return nil, fmt.Errorf("field %s is missing", key)
	}
	return value, nil
}

// number parses a field as a finite number. It returns 0 if the field is missing.
func (f *fields) number(key string) (float64, error) {
	text, ok := f.get(key)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("field %s: bad number %q", key, clip(text))
	}
	return x, nil
}

// integer parses a field as an integer. It returns 0 if the field is missing.
func (f *fields) integer(key string) (int64, error) {
	text, ok := f.get(key)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %s: bad number %q", key, clip(text))
	}
	return x, nil
}

// requiredInt parses a field as an integer, and returns an error if the field is missing.
func (f *fields) requiredInt(key string) (int64, error) {
	if _, ok := f.get(key); !ok {
		return 0, fmt.Errorf("field %s is missing", key)
	}
	return f.integer(key)
}

// seconds parses a field as a time in seconds. It returns 0 if the field is missing.
func (f *fields) seconds(key string) (time.Duration, error) {
	x, err := f.number(key)
	return config.Seconds(x), err
}

// requiredSeconds parses a field as a time in seconds, and returns an error if the field is missing or empty.
func (f *fields) requiredSeconds(key string) (time.Duration, error) {
	if _, err := f.required(key); err != nil {
		return 0, err
	}
	return f.seconds(key)
}
