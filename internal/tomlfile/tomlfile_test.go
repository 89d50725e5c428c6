package tomlfile

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"birchstair/internal/golden"
)

type sample struct {
	Wait  Duration `toml:"wait"`
	Room  ByteSize `toml:"room"`
	Count int      `toml:"count"`
	Rows  []row    `toml:"rows"`
	Inner *nested  `toml:"inner"`
}

type row struct {
	Wait Duration `toml:"wait"`
	Name string
}

type nested struct {
	Room ByteSize `toml:"room"`
}

// TestDecode checks that values with units are read and written, and that errors name the file, the line and the key.
func TestDecode(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"wait = \"1.5s\"\nroom = \"64MiB\"\ncount = 3",
		"room = \"1GiB\"",
		"room = \"1536KiB\"",
		"room = \" 7 B\"",
		"room = \"0B\"",
		"room = \"-1B\"",
		"room = \"9999999999GiB\"",
		"room = \"64 MB\"",
		"wait = \"-1s\"",
		"wait = \"soon\"",
		"wait = 2",
		"room = 64",
		"count = \"3\"",
		"counts = 3",
		"other = 3",
		"inner.room = 7",
		"[inner]\nroom = 7",
		"[inner]\nrom = 7",
		"[[rows]]\nwait = \"1s\"\n[[rows]]\nwait = 2.5",
		"[[rows]]\nwat = \"1s\"",
		"count = 3\ncount = 4",
		"count = [",
	} {
		var s sample
		result := ""
		if err := Decode("some.toml", []byte(text), &s); err != nil {
			result = err.Error()
		} else {
			room, err := s.Room.MarshalText()
			if err != nil {
				t.Error(err)
			}
			wait, err := s.Wait.MarshalText()
			if err != nil {
				t.Error(err)
			}
			result = fmt.Sprintf("wait %s, room %s of %d bytes, count %d, %d rows", wait, room, int64(s.Room), s.Count, len(s.Rows))
		}
		fmt.Fprintf(&out, "%s\n    -> %s\n", strings.ReplaceAll(text, "\n", "\n  "), result)
	}
	golden.Compare(t, "decode.txt", out.String())
}

// TestPosition checks that the line of a key is found by table, index and key, and that Wrap keeps the cause of the
// error.
func TestPosition(t *testing.T) {
	text := []byte("a = 1\n[t]\nb = 2\n[[r]]\nc = 3\n[[r]]\n  c = 4\n")
	cause := errors.New("cause")
	for _, c := range []struct {
		position Position
		want     string
	}{
		{Position{Key: "a", Index: -1}, "f:1: a: cause"},
		{Position{Key: "none", Index: -1}, "f:1: none: cause"},
		{Position{Table: "t", Key: "b", Index: -1}, "f:3: t.b: cause"},
		{Position{Table: "t", Key: "none", Index: -1}, "f:2: t.none: cause"},
		{Position{Table: "r", Key: "c", Index: 0}, "f:5: r[0].c: cause"},
		{Position{Table: "r", Key: "c", Index: 1}, "f:7: r[1].c: cause"},
		{Position{Table: "r", Key: "none", Index: 1}, "f:6: r[1].none: cause"},
		{Position{Table: "none", Key: "c", Index: -1}, "f:1: none.c: cause"},
	} {
		err := c.position.Wrap("f", text, cause)
		if err.Error() != c.want || !errors.Is(err, cause) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
}
