// Package gossip connects a node to its peers, the other nodes of its cluster. It finds out which peers are alive, and
// exchanges messages with them. Messages can be lost. The library memberlist does membership and failure detection
// (SWIM gossip with suspicion). memberlist has goroutines and random choices of its own, so that its runs can't be
// repeated exactly. Therefore this package makes no decisions: it posts events to the node's event loop and carries out
// the effects that come back.
//   - membership.go: joining the cluster, the living peers, and sending messages
//   - delegate.go: memberlist's callbacks
//   - options.go: addresses and their defaults
//   - codec.go: the encoding of messages
//   - transport.go: the sockets, with a limit on connections
//   - traffic.go: a transport that counts traffic, for measurements
//   - log.go: memberlist's log lines in the node's log
package gossip
