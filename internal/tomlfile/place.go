package tomlfile

import (
	"errors"
	"fmt"
	"strings"
)

// NoIndex is the index of a place in a table that is there once.
const NoIndex = -1

// Position is a key of a file.
type Position struct {
	Table string // empty for the file's own keys
	Index int    // of the table in an array of tables; NoIndex for one that is there once
	Key   string
}

// String names the key with its table.
func (p Position) String() string {
	switch {
	case p.Table == "":
		return p.Key
	case p.Index < 0:
		return p.Table + "." + p.Key
	}
	return fmt.Sprintf("%s[%d].%s", p.Table, p.Index, p.Key)
}

// Wrap puts file, line and key before an error.
func (p Position) Wrap(file string, text []byte, err error) error {
	return fmt.Errorf("%s:%d: %s: %w", file, p.line(string(text)), p, err)
}

// KeyError is an error in the value of a key.
type KeyError struct {
	Place Position
	Err   error
}

// Error names the key.
func (e *KeyError) Error() string { return fmt.Sprintf("%s: %v", e.Place, e.Err) }

// Unwrap gives what is wrong with the value.
func (e *KeyError) Unwrap() error { return e.Err }

// Locate puts the file before an error, and for a KeyError line and key as well.
func Locate(file string, text []byte, err error) error {
	var key *KeyError
	if errors.As(err, &key) {
		return key.Place.Wrap(file, text, key.Err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// line finds a place's line in a text: the key's, or else its table's, or else the first.
func (p Position) line(text string) int {
	index, inTable := -1, p.Table == ""
	found, row := 1, 0
	for line := range strings.Lines(text) {
		row++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inTable = false
			if strings.Trim(line, "[] ") == p.Table {
				index++
				inTable = p.Index < 0 || index == p.Index
			}
			if inTable {
				found = row
			}
			continue
		}
		key, _, _ := strings.Cut(line, "=")
		if inTable && strings.TrimSpace(key) == p.Key {
			return row
		}
	}
	return found
}
