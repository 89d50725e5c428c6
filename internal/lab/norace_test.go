//go:build !race

package lab

const underRace = false
