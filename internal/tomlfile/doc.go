// Package tomlfile reads files that people write: TOML, with unknown keys refused, and with units on durations and sizes. Its errors
// name file, line and key, and what was probably meant.
//
//   - decode.go: decoding, and what its errors say
//   - units.go: durations and sizes
//   - place.go: where in a file a key stands
//   - nearest.go: the key that was probably meant
package tomlfile
