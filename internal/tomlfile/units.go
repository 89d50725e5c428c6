package tomlfile

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time span that is written with its unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration with its unit. A negative one is refused.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration like \"1.5s\"", text)
	}
	if parsed < 0 {
		return fmt.Errorf("%q is under 0", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes a duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Within reports whether low <= d <= high.
func (d Duration) Within(low, high time.Duration) bool {
	return time.Duration(d) >= low && time.Duration(d) <= high
}

// ByteSize is a number of bytes that is written with its unit, such as "64MiB".
type ByteSize int64

// maxByteSize is the maximum of a size, in bytes. It is half the range of int64, which leaves headroom for sums of
// sizes.
const maxByteSize = 1 << 62

// sizeUnits are the units in the order in which UnmarshalText compares them with the end of the text. B is last,
// because the other units also end in B.
var sizeUnits = []sizeUnit{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// largestFirst are the units that MarshalText tries, from the largest to the smallest, before it writes a size in
// bytes.
var largestFirst = []sizeUnit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}}

type sizeUnit struct {
	name  string
	bytes int64
}

// UnmarshalText parses a size with its unit.
func (s *ByteSize) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > maxByteSize/unit.bytes {
			break
		}
		*s = ByteSize(n * unit.bytes)
		return nil
	}
	return fmt.Errorf("%q is not a size like \"64MiB\"; units are B, KiB, MiB and GiB", text)
}

// MarshalText writes a size in the largest unit that yields a whole number.
func (s ByteSize) MarshalText() ([]byte, error) {
	for _, unit := range largestFirst {
		if s != 0 && int64(s)%unit.bytes == 0 {
			return fmt.Appendf(nil, "%d%s", int64(s)/unit.bytes, unit.name), nil
		}
	}
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}
