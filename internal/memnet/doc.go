// Package memnet is a network in memory, for tests and simulations. Its connections have a delay and a bandwidth, and
// can be reset, half-closed, silently dropped or broken in the middle of a write. A dial can be refused or time out.
// The only clock is that of package time, so the network runs on a virtual clock within testing/synctest and in real
// time elsewhere.
//
// Each connection adds an offset of its own, under 15 microseconds, to its delays. So on a virtual clock packets of
// different connections arrive at different instants, unless the hashes that give the offsets collide. The effects of
// one arrival are then over before the next, and their order does not depend on the Go scheduler.
package memnet
