// Package discovery watches the discovery service: it fetches the complete endpoint list once, and then long-polls for changes. What
// it learns goes to the reducer of package node as events.
//
// # Watches
//
// A Watcher follows one address at a time. When the address is switched, the watch on the old address stays active until the one on
// the new address has brought a complete list (watcher.go).
//
// A watch on one address is a state machine (machine.go), stepped by one goroutine (poller.go) that owns the timer and the requests:
//
//	backingOff       --- timer, or wake ----------> awaitingResponse   send the next request
//	awaitingResponse --- response ----------------> backingOff         report the update; pause up to MinPollInterval, or not at all
//	awaitingResponse --- failure, or hedge delay -> backingOff         report the error; pause by the backoff
//
// What the next request asks for follows from its mode:
//
//	fetching  no version is known: the complete list, without a long poll
//	probing   the last request failed: changes, with a short long poll, to learn soon whether discovery is back
//	watching  the last request was answered: changes, with the full long poll
//	sparing   discovery rejects requests: no long poll, and long timeouts
//
// A request that is unanswered after its hedge delay stays in flight beside the next ones: discovery may be slow, and then abandoning
// each request would never bring anything; or its connection may be dead, and then only another request does. The first response
// cancels all other requests.
//
// # Bounds
//
// All timeouts, intervals and backoffs stand in Timing. Timing.MaxUpdateDelay adds up how long a change, such as a drain, can take from
// discovery to the node.
package discovery
