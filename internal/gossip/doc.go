// Package gossip connects a node to the other nodes of its cluster, its peers. It finds out which of them are alive,
// and exchanges messages with them, which may be lost. Membership and failure detection are done by the library
// memberlist (SWIM gossip with suspicion). Since memberlist has goroutines and random choices of its own, this package
// makes no decisions: it posts events to the node's event loop and carries out the effects that come back.
//
//   - membership.go: joining the cluster, the living peers, and sending messages
//   - delegate.go: memberlist's callbacks
//   - options.go: addresses and their defaults
//   - codec.go: the encoding of messages
//   - transport.go: the sockets, with a limit on connections
//   - traffic.go: a transport that counts traffic, for measurements
//   - log.go: memberlist's log lines in the node's log
package gossip
