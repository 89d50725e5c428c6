package tomlfile

import (
	"reflect"
	"strings"
)

// maxEdits is how many edits away the key that was probably meant may be.
const maxEdits = 2

// nearestKey is the key of a type, or of the types of its fields, that an unknown one was probably meant to be; empty where none is
// near.
func nearestKey(unknown string, t reflect.Type) string {
	nearest, least := "", maxEdits+1
	var visit func(reflect.Type)
	visit = func(t reflect.Type) {
		t = elementType(t)
		if t.Kind() != reflect.Struct {
			return
		}
		for i := range t.NumField() {
			field := t.Field(i)
			key := keyOf(field)
			if key == "" || key == "-" {
				continue
			}
			if edits := editDistance(unknown, key); edits < least {
				nearest, least = key, edits
			}
			visit(field.Type)
		}
	}
	visit(t)
	return nearest
}

// keyOf is a field's key in the file.
func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	return key
}

// elementType is the type behind pointers and slices.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// editDistance is how many bytes must be inserted, deleted or replaced to turn a into b (Levenshtein).
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j+1]+1, row[j]+1)
		}
	}
	return row[len(b)]
}
