// Package tomlfile reads the files that people write: TOML, with unknown keys refused, and units on spans of time and on sizes. Its errors
// name file, line and key, and what was probably meant.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a span of time with its unit.
type Duration time.Duration

// UnmarshalText reads a span with its unit.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time, such as \"1.5s\"", text)
	}
	if d < 0 {
		return fmt.Errorf("%q is under 0", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes a span with its unit.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// ByteSize is a number of bytes with its unit.
type ByteSize int64

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText reads a size with its unit.
func (s *ByteSize) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = ByteSize(n * u.bytes)
		return nil
	}
	return fmt.Errorf("%q is no size, such as \"64MiB\"; units are B, KiB, MiB and GiB", text)
}

// MarshalText writes a size with its largest whole unit.
func (s ByteSize) MarshalText() ([]byte, error) {
	for _, u := range []int{2, 1, 0} {
		if s != 0 && int64(s)%sizeUnits[u].bytes == 0 {
			return fmt.Appendf(nil, "%d%s", int64(s)/sizeUnits[u].bytes, sizeUnits[u].name), nil
		}
	}
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}

// Decode reads a file's text into what to points to; what the text leaves out stays as it is.
func Decode(file string, text []byte, to any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return decodeError(file, err, reflect.TypeOf(to).Elem())
	}
	tables := map[string]any{}
	if err := toml.Unmarshal(text, &tables); err != nil {
		return decodeError(file, err, reflect.TypeOf(to).Elem())
	}
	at, value, unit := missingUnit(reflect.TypeOf(to).Elem(), tables, Place{Index: -1})
	if value == nil {
		return nil
	}
	return at.Wrap(file, text, fmt.Errorf("a unit is missing; \"%v%s\" was probably meant", value, unit))
}

var mismatch = regexp.MustCompile(`cannot decode TOML (\w+) into .* of type (\S+)`)

func decodeError(file string, err error, t reflect.Type) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := &strict.Errors[0]
		row, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		if near := nearestKey(e.Key()[len(e.Key())-1], t); near != "" {
			return fmt.Errorf("%s:%d: %s: no such key; %q was probably meant", file, row, key, near)
		}
		return fmt.Errorf("%s:%d: %s: no such key", file, row, key)
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		row, _ := e.Position()
		text := strings.TrimPrefix(e.Error(), "toml: ")
		if m := mismatch.FindStringSubmatch(text); m != nil {
			text = fmt.Sprintf("a %s does not belong there, but one of type %s", m[1], m[2])
		}
		key := strings.Join(e.Key(), ".")
		if key == "" {
			return fmt.Errorf("%s:%d: %s", file, row, text)
		}
		return fmt.Errorf("%s:%d: %s: %s", file, row, key, text)
	}
	return fmt.Errorf("%s: %v", file, err)
}

// missingUnit finds a number without a unit where one belongs, which the decoder takes for nanoseconds or bytes.
func missingUnit(t reflect.Type, table map[string]any, at Place) (Place, any, string) {
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		value, ok := table[key]
		if !ok {
			continue
		}
		if _, isText := value.(string); !isText {
			at.Key = key
			switch f.Type {
			case reflect.TypeFor[Duration]():
				return at, value, "s"
			case reflect.TypeFor[ByteSize]():
				return at, value, "MiB"
			}
		}
		of := f.Type
		for of.Kind() == reflect.Pointer || of.Kind() == reflect.Slice {
			of = of.Elem()
		}
		name := key
		if at.Table != "" {
			name = at.Table + "." + key
		}
		switch value := value.(type) {
		case map[string]any:
			if at, value, unit := missingUnit(of, value, Place{Table: name, Index: -1}); value != nil {
				return at, value, unit
			}
		case []any:
			for j, one := range value {
				if one, ok := one.(map[string]any); ok {
					if at, value, unit := missingUnit(of, one, Place{Table: name, Index: j}); value != nil {
						return at, value, unit
					}
				}
			}
		}
	}
	return Place{}, nil, ""
}

// nearestKey is the key of a type's that one which is not known was probably meant to be.
func nearestKey(word string, t reflect.Type) string {
	best, least := "", 3
	var look func(reflect.Type)
	look = func(t reflect.Type) {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return
		}
		for i := range t.NumField() {
			key, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
			if key == "" || key == "-" {
				continue
			}
			if d := editDistance(word, key); d < least {
				best, least = key, d
			}
			look(t.Field(i).Type)
		}
	}
	look(t)
	return best
}

// editDistance is how many letters must be put in, taken out or changed to make one word the other.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := last
			if a[i] != b[j] {
				change++
			}
			last = row[j+1]
			row[j+1] = min(change, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}

// Place is where in a file something is wrong.
type Place struct {
	Table string // or empty
	Index int    // of a table that may be there often; -1
	Key   string
}

func (p Place) String() string {
	switch {
	case p.Table == "":
		return p.Key
	case p.Index < 0:
		return p.Table + "." + p.Key
	}
	return fmt.Sprintf("%s[%d].%s", p.Table, p.Index, p.Key)
}

// Wrap puts file, line and key before an error.
func (p Place) Wrap(file string, text []byte, err error) error {
	return fmt.Errorf("%s:%d: %s: %w", file, p.line(string(text)), p, err)
}

// line finds a place's line in a text: the key's, or else its table's, or else the first.
func (p Place) line(text string) int {
	at, in, found, row := -1, p.Table == "", 1, 0
	for line := range strings.Lines(text) {
		row++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = false
			if strings.Trim(line, "[] ") == p.Table {
				at++
				in = p.Index < 0 || at == p.Index
			}
			if in {
				found = row
			}
			continue
		}
		key, _, _ := strings.Cut(line, "=")
		if in && strings.TrimSpace(key) == p.Key {
			return row
		}
	}
	return found
}
