package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes the text of a TOML file into the struct that target points to. Fields whose keys the text leaves out
// keep their values. Unknown keys are refused, and so are durations and sizes without a unit.
func Decode(file string, text []byte, target any) error {
	targetType := reflect.TypeOf(target).Elem()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(file, err, targetType)
	}
	tables := map[string]any{}
	if err := toml.Unmarshal(text, &tables); err != nil {
		return decodeError(file, err, targetType)
	}
	if bare := findBareNumber(targetType, tables, Position{Index: NoIndex}); bare != nil {
		return bare.position.Wrap(file, text, fmt.Errorf("a unit is missing; \"%v%s\" was probably meant", bare.value, bare.unit))
	}
	return nil
}

// decodeError converts an error of the TOML decoder to one that names the file, and the line and the key if they are
// known.
func decodeError(file string, err error, target reflect.Type) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return unknownKeyError(file, &strict.Errors[0], target)
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return fmt.Errorf("%s: %w", file, err)
	}
	row, _ := decode.Position()
	reason := decodeReason(decode)
	key := strings.Join(decode.Key(), ".")
	if key == "" {
		return fmt.Errorf("%s:%d: %s", file, row, reason)
	}
	return fmt.Errorf("%s:%d: %s: %s", file, row, key, reason)
}

// unknownKeyError returns the error for an unknown key. It suggests a known key with a similar name, if there is one.
func unknownKeyError(file string, unknown *toml.DecodeError, target reflect.Type) error {
	row, _ := unknown.Position()
	key := unknown.Key()
	name := strings.Join(key, ".")
	if near := nearestKey(key[len(key)-1], target); near != "" {
		return fmt.Errorf("%s:%d: %s: no such key; %q was probably meant", file, row, name, near)
	}
	return fmt.Errorf("%s:%d: %s: no such key", file, row, name)
}

// typeMismatch matches the decoder's error text for a value of the wrong type.
var typeMismatch = regexp.MustCompile(`cannot decode TOML (\w+) into .* of type (\S+)`)

// decodeReason returns the text of a decoder error without the names of Go structs.
func decodeReason(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if types := typeMismatch.FindStringSubmatch(text); types != nil {
		return fmt.Sprintf("the value has type %s instead of %s", types[1], types[2])
	}
	return text
}

// bareNumber is a number without a unit where a duration or size is expected. The decoder would read the number as
// nanoseconds or bytes.
type bareNumber struct {
	position Position
	value    any
	unit     string // unit that was probably meant, such as MiB
}

// findBareNumber returns the first bare number in a decoded table, or nil if there is none. The fields of struct type t
// define the keys of the table. The parameter at is the position of the table; its Key is empty.
func findBareNumber(t reflect.Type, table map[string]any, at Position) *bareNumber {
	for i := range t.NumField() {
		field := t.Field(i)
		key := keyOf(field)
		value, ok := table[key]
		if !ok {
			continue
		}
		if unit := missingUnit(field.Type, value); unit != "" {
			return &bareNumber{position: Position{Table: at.Table, Index: at.Index, Key: key}, value: value, unit: unit}
		}
		inner := key
		if at.Table != "" {
			inner = at.Table + "." + key
		}
		if bare := findInnerBareNumber(elementType(field.Type), value, inner); bare != nil {
			return bare
		}
	}
	return nil
}

// findInnerBareNumber returns the first bare number in a value that is a table or an array of tables. It returns nil if
// there is none, and for any other value.
func findInnerBareNumber(t reflect.Type, value any, table string) *bareNumber {
	switch value := value.(type) {
	case map[string]any:
		return findBareNumber(t, value, Position{Table: table, Index: NoIndex})
	case []any:
		for i, element := range value {
			element, ok := element.(map[string]any)
			if !ok {
				continue
			}
			if bare := findBareNumber(t, element, Position{Table: table, Index: i}); bare != nil {
				return bare
			}
		}
	}
	return nil
}

// missingUnit returns the unit that was probably meant, if t is a duration or size and the value has no unit. Otherwise
// it returns "".
func missingUnit(t reflect.Type, value any) string {
	if _, isText := value.(string); isText {
		return ""
	}
	switch t {
	case reflect.TypeFor[Duration]():
		return "s"
	case reflect.TypeFor[ByteSize]():
		return "MiB"
	}
	return ""
}
