// Package gossip is the edge to the other nodes of the cluster, the peers: which of them are alive, and messages to them that may be
// lost. Membership and failure detection are memberlist's (SWIM gossip with suspicion). memberlist has goroutines and random choices of its own, so
// nothing is decided here: events go to the reducer, and its effects come back.
//
//   - membership.go: joining the cluster, its peers, and the messages sent
//   - delegate.go: memberlist's callbacks
//   - options.go: addresses and their defaults
//   - codec.go: the messages on the wire
//   - transport.go: the sockets, bounded
//   - traffic.go: a transport that counts, for measurements
package gossip
