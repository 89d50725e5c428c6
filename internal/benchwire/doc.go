// Package benchwire runs the policy on the simulator's wire. It decodes lines into calls of the policy, keeps the instances
// and their timers, and encodes what the policy decides. It decides nothing.
//
//   - adapter.go: batches, and which instance an event is for
//   - instance.go: one instance of the policy
//   - line.go: a line's name and fields
//   - decode.go: the messages received, by the wire's names
//   - encode.go: the actions sent, by the wire's names
package benchwire
