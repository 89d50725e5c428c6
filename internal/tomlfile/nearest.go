package tomlfile

import (
	"reflect"
	"strings"
)

// maxEdits is the maximum edit distance between an unknown key and the key that is suggested in its place.
const maxEdits = 2

// nearestKey returns the key with the least edit distance from an unknown key, among those of struct type t and of the
// structs nested in it. It returns "" if the distance of each of them is over maxEdits.
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

// keyOf returns the key of a struct field in the file.
func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	return key
}

// elementType returns a type with all pointers and slices around it removed.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

// editDistance returns the Levenshtein distance: the number of bytes to insert, delete or replace to turn a into b.
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
