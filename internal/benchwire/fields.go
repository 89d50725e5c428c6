package benchwire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"

	"birchstair/internal/config"
	"birchstair/policy"
)

// fields are the name=value pairs of one line; they point into it.
type fields struct {
	pairs []pair
}

type pair struct{ key, value []byte }

// textField runs to the end of its line.
const textField = "profile-data"

// split reads a line and gives its message's name.
func (f *fields) split(line []byte) (string, error) {
	f.pairs = f.pairs[:0]
	name, rest, _ := bytes.Cut(line, []byte{' '})
	for len(rest) > 0 {
		eq := bytes.IndexByte(rest, '=')
		if eq <= 0 {
			return "", fmt.Errorf("malformed line: no name=value in %q", clip(rest))
		}
		key := rest[:eq]
		if bytes.IndexByte(key, ' ') >= 0 {
			return "", fmt.Errorf("malformed line: no name=value in %q", clip(rest))
		}
		value := rest[eq+1:]
		rest = nil
		if string(key) != textField {
			value, rest, _ = bytes.Cut(value, []byte{' '})
		}
		f.pairs = append(f.pairs, pair{key, value})
	}
	return messageName(name), nil
}

// messageName gives a message's name without a new string for the common ones.
func messageName(name []byte) string {
	for _, known := range [...]string{"SYNC", "COMMIT", "DONE", "HEARTBEAT", "SUBMIT", "REMINDER", "ENTRY"} {
		if string(name) == known {
			return known
		}
	}
	return string(name)
}

func clip(text []byte) []byte { return text[:min(len(text), 40)] }

func (f *fields) get(key string) ([]byte, bool) {
	for _, p := range f.pairs {
		if string(p.key) == key {
			return p.value, true
		}
	}
	return nil, false
}

func (f *fields) need(key string) ([]byte, error) {
	value, ok := f.get(key)
	if !ok || len(value) == 0 {
		return nil, fmt.Errorf("field %s is missing", key)
	}
	return value, nil
}

// number reads a number that may be absent.
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

func (f *fields) whole(key string, must bool) (int64, error) {
	text, ok := f.get(key)
	if !ok {
		if must {
			return 0, fmt.Errorf("field %s is missing", key)
		}
		return 0, nil
	}
	x, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %s: bad number %q", key, clip(text))
	}
	return x, nil
}

// allocation reads which allocation of which batch job a line is about.
func (f *fields) allocation() (id []byte, shot int64, err error) {
	if id, err = f.need("id"); err == nil {
		shot, err = f.whole("shot", true)
	}
	return id, shot, err
}

// report reads the values of a load report that are known, if one came along whole.
func (f *fields) report(at config.LoadFields) (load policy.Load, ok bool) {
	text, ok := f.get("gauge")
	if !ok || len(text) == 0 {
		return load, false
	}
	values, n := [8]float64{}, 0
	for ; len(text) > 0 && n < len(values); n++ {
		var one []byte
		one, text, _ = bytes.Cut(text, []byte{','})
		x, err := strconv.ParseFloat(string(one), 64)
		if err != nil {
			return load, false
		}
		values[n] = x
	}
	return at.Decode(values[:n])
}

func (f *fields) seconds(key string) (time.Duration, error) {
	if _, err := f.need(key); err != nil {
		return 0, err
	}
	return f.secondsOr0(key)
}

func (f *fields) secondsOr0(key string) (time.Duration, error) {
	x, err := f.number(key)
	return config.Seconds(x), err
}
