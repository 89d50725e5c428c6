// Package oneline shows text of other processes, such as IDs, on one line of an output that operators and their scripts read.
package oneline

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Escape returns text unchanged if it is UTF-8 without control characters. Otherwise it escapes the text like a Go string literal,
// without the quotes.
func Escape(text string) string {
	if utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl) {
		return text
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}
