// Package tomlfile reads hand-written TOML files. It refuses unknown keys, and requires a unit on durations and sizes.
// Its errors name the file, the line and the key, and suggest what was probably meant.
//
//   - decode.go: decoding and its errors
//   - units.go: durations and sizes
//   - position.go: the position of a key in a file
//   - nearest.go: the suggestion for an unknown key
package tomlfile
