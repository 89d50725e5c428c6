// Package discovery watches the discovery service: it fetches the complete endpoint list once, and then long-polls for
// changes. It passes the list and the changes as events to the state machine of package node.
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
//	awaitingResponse --- response ----------------> backingOff         report the update; pause until MinPollInterval after the request's start
//	awaitingResponse --- failure, or hedge delay -> backingOff         report the error; pause by the backoff
//
// The mode of the machine determines the next request:
//
//	fetching    no version is known: requests the complete list, without a long poll
//	probing     the last request failed: requests changes with a short long poll, to find out quickly whether discovery is back
//	watching    the last request was answered: requests changes with the full long poll
//	throttling  discovery rejects requests: no long poll, and long timeouts
//
// A request that is unanswered at the end of its hedge delay can stay in flight while further requests are sent;
// Timing.MinHedgeInterval limits how many do. If discovery is slow and each such request were canceled, no request
// would ever be answered. If the connection of the request is dead, only another request can be answered. The first
// response cancels all other requests.
//
// # Bounds
//
// Timing holds all timeouts, intervals and backoffs. Timing.MaxUpdateDelay returns the maximum time that a change, such
// as a drain, takes from discovery to the node.
package discovery
