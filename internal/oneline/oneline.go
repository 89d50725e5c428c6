// Package oneline checks and shows text of other processes, such as IDs, that has to fit on one line: of an output that operators
// and their scripts read, or of a protocol.
package oneline

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Valid reports whether text is UTF-8 without control characters.
func Valid(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// Escape returns valid text unchanged. It escapes other text like a Go string literal, without the quotes.
func Escape(text string) string {
	if Valid(text) {
		return text
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}
