package oneline_test

import (
	"testing"

	"birchstair/internal/oneline"
)

// TestEscape guards against output in which text of another process becomes a line, a column or a terminal command of its own.
func TestEscape(t *testing.T) {
	for text, want := range map[string]string{
		"order-17":         "order-17",
		`a\b "c" jõgi`:     `a\b "c" jõgi`,
		"":                 "",
		"a\nb\tc\r":        `a\nb\tc\r`,
		"\x1b[2J":          `\x1b[2J`,
		"caf\xe9":          `caf\xe9`,
		"a\u0085b \x00 õ":  `a\u0085b \x00 õ`,
		"line\neof \"a\" ": `line\neof \"a\" `,
	} {
		if got := oneline.Escape(text); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}
