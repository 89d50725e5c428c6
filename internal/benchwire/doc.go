// Package benchwire connects the policy to the benchmark simulator by a line protocol. It decodes the simulator's
// messages into calls of the policy, keeps a dispatcher and a timer for each simulated node, and encodes what the
// dispatcher decides as actions. It makes no decision itself.
//
// A message is a line: its name, followed by fields of the form name=value. The simulator sends messages in batches
// from SYNC to COMMIT. The reply to a batch is a list of actions, one on each line, that ends with the line DONE.
//
//   - adapter.go: reading of batches, and which instance an event belongs to
//   - instance.go: one simulated node with its dispatcher and timer
//   - line.go: parsing of a line into its name and fields
//   - decode.go: messages from the simulator
//   - encode.go: actions for the simulator
package benchwire
