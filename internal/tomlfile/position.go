package tomlfile

import (
	"errors"
	"fmt"
	"strings"
)

// NoIndex is the Index of a Position whose table is not in an array of tables.
const NoIndex = -1

// Position is the position of a key in a file.
type Position struct {
	Table string // name of the table; empty for a top-level key
	Index int    // index of the table in its array of tables; NoIndex if it is in none
	Key   string
}

// String returns the key, preceded by the name of its table and the table's index if the key has these.
func (p Position) String() string {
	switch {
	case p.Table == "":
		return p.Key
	case p.Index < 0:
		return p.Table + "." + p.Key
	}
	return fmt.Sprintf("%s[%d].%s", p.Table, p.Index, p.Key)
}

// Wrap prefixes an error with the file, the line and the key.
func (p Position) Wrap(file string, text []byte, err error) error {
	return fmt.Errorf("%s:%d: %s: %w", file, p.line(string(text)), p, err)
}

// KeyError is an error in the value of a key.
type KeyError struct {
	Position Position
	Err      error
}

// Error returns the key and what is wrong with its value.
func (e *KeyError) Error() string { return fmt.Sprintf("%s: %v", e.Position, e.Err) }

// Unwrap returns the cause, whose text lacks the key.
func (e *KeyError) Unwrap() error { return e.Err }

// Locate prefixes an error with the file, and a KeyError also with the line and the key.
func Locate(file string, text []byte, err error) error {
	var key *KeyError
	if errors.As(err, &key) {
		return key.Position.Wrap(file, text, key.Err)
	}
	return fmt.Errorf("%s: %w", file, err)
}

// line returns the line number of the key in the text. If the key is not found, line returns the line number of its
// table, or 1 if the table is not found either.
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
