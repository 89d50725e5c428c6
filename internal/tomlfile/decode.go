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

// Decode decodes a file's text into the struct that target points to; what the text leaves out stays as it is. Unknown keys and
// numbers without a unit where one belongs are refused.
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
		return bare.place.Wrap(file, text, fmt.Errorf("a unit is missing; \"%v%s\" was probably meant", bare.value, bare.unit))
	}
	return nil
}

// decodeError says file, line and key of an error of the decoder.
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

func unknownKeyError(file string, unknown *toml.DecodeError, target reflect.Type) error {
	row, _ := unknown.Position()
	key := unknown.Key()
	name := strings.Join(key, ".")
	if near := nearestKey(key[len(key)-1], target); near != "" {
		return fmt.Errorf("%s:%d: %s: no such key; %q was probably meant", file, row, name, near)
	}
	return fmt.Errorf("%s:%d: %s: no such key", file, row, name)
}

// typeMismatch is the decoder's text about a value of another type.
var typeMismatch = regexp.MustCompile(`cannot decode TOML (\w+) into .* of type (\S+)`)

// decodeReason is a decoder's text without the names of Go's structs.
func decodeReason(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if types := typeMismatch.FindStringSubmatch(text); types != nil {
		return fmt.Sprintf("a %s does not belong there, but one of type %s", types[1], types[2])
	}
	return text
}

// bareNumber is a number without a unit where one belongs. The decoder would take it for nanoseconds or bytes.
type bareNumber struct {
	place Position
	value any
	unit  string // that was probably meant
}

// findBareNumber finds the first in a decoded table, whose keys are those of type t; nil where there is none.
func findBareNumber(t reflect.Type, table map[string]any, at Position) *bareNumber {
	for i := range t.NumField() {
		field := t.Field(i)
		key := keyOf(field)
		value, ok := table[key]
		if !ok {
			continue
		}
		if unit := missingUnit(field.Type, value); unit != "" {
			return &bareNumber{place: Position{Table: at.Table, Index: at.Index, Key: key}, value: value, unit: unit}
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

// findInnerBareNumber looks into a value that is a table, or an array of tables.
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

// missingUnit is the unit that a value of a type lacks; empty where it lacks none.
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
