package simulation

import "math/rand/v2"

// Names of the random streams. A stream is seeded with the scenario's seed and its name, so a changed name changes the
// traces.
const (
	networkStream       = "network"
	gossipStream        = "words"
	workNoiseStream     = "attempts"
	frontLayerStream    = "front"
	speedStream         = "speeds"
	executorStream      = "executor "         // the executor's ID is appended
	clientStream        = "clients "          // the zone's name is appended
	randomPolicyStream  = "random choice at " // the node's name is appended
	drawStream          = "draw"
	drawAdminStream     = "operators"
	drawFeatureStream   = "beside"
	drawGossipStream    = "words"
	drawSlowStartStream = "cold"
)

// The 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// scheduleGamma is the increment of splitmix64. Because it is odd, its multiples modulo 2^64 include every number.
const scheduleGamma = 0x9e3779b97f4a7c15

// stream returns the random stream with the given name, which stands for one use of randomness. With separate streams,
// the rest of a simulation changes little when a fault is removed.
func stream(seed uint64, use string) *rand.Rand {
	hash := uint64(fnvOffset)
	for i := range len(use) {
		hash = (hash ^ uint64(use[i])) * fnvPrime
	}
	return rand.New(rand.NewPCG(seed, hash))
}

// permute is the finalizer of splitmix64, a pseudorandom permutation of all 64-bit numbers.
func permute(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
