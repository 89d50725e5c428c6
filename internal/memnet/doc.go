// Package memnet is a network in memory, for tests and simulations. Its connections have delay and bandwidth, and can be reset,
// half-closed, silently dropped or broken in the middle of a write; a dial can be refused or time out. It reads time by package time
// alone, so that it runs on a virtual clock within testing/synctest and in real time elsewhere.
//
// On a virtual clock no two packets arrive at the same instant, since each connection adds an offset of a few nanoseconds of its own. So
// the effects of an arrival are over before the next one, and their order does not depend on the Go scheduler.
package memnet
