// Package discovery watches the discovery service: it fetches the complete endpoint list once, and then long-polls for
// changes. It passes them as events to the state machine of package node.
//
// # Watches
//
// A Watcher uses one address at a time. After a switch to another address, the watch on the old address stays active
// until the watch on the new one has received a complete list (watcher.go).
//
// A watch on one address is a state machine (machine.go), stepped by one goroutine (poller.go) that owns the timer and
// the requests:
//
//	backingOff       --- timer, or wake ----------> awaitingResponse   send the next request
//	awaitingResponse --- response ----------------> backingOff         report the update; pause up to MinPollInterval, or not at all
//	awaitingResponse --- failure, or hedge delay -> backingOff         report the error; pause by the backoff
//
// The mode of the machine determines the next request:
//
//	fetching    no version is known: requests the complete list, without a long poll
//	probing     the last request failed: requests changes with a short long poll, to find out quickly whether discovery is back
//	watching    the last request was answered: requests changes with the full long poll
//	throttling  discovery rejects requests: no long poll, and long timeouts
//
// A request that is unanswered after its hedge delay stays in flight while further ones are sent. If discovery is slow,
// canceling each request would mean that none is ever answered; if the connection is dead, only another request can be
// answered. The first response cancels all other requests.
//
// # Bounds
//
// Timing holds all timeouts, intervals and backoffs. Timing.MaxUpdateDelay adds up how long a change, such as a drain,
// can take from discovery to the node.
package discovery
