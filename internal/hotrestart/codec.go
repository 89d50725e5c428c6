package hotrestart

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

// Messages are encoded as lines, and each line is one JSON object. The names in the tags of the wire types below are
// part of the protocol between versions of the program. They must not change when names in package node change.

// version is the version of the protocol. It is raised when the meaning of a message changes.
const version = 1

// The names of message kinds and of operators' commands on the wire, indexed by their values in package node.
var (
	kindNames = []string{
		node.StateTransfer:      "state",
		node.SuccessorReady:     "ready",
		node.PredecessorYielded: "ceded",
		node.RelayCommand:       "order",
		node.RelayDone:          "done",
		node.ClaimID:            "claim",
		node.ClaimAnswered:      "claimed",
		node.TransferUsedIDs:    "ids",
		node.ClaimsEnded:        "ended",
	}
	commandNames = []string{
		node.ExcludeExecutor: "take-out",
		node.ReadmitExecutor: "put-back",
		node.DrainOn:         "drain-on",
		node.DrainOff:        "drain-off",
	}
)

// wireMessage is a message as it is encoded in a line.
type wireMessage struct {
	Version  int               `json:"Version"`
	Kind     string            `json:"Kind"`
	Seq      uint64            `json:"Seq,omitempty"`
	Command  string            `json:"Order,omitempty"`
	Executor policy.ExecutorID `json:"Executor,omitempty"`
	State    *wireState        `json:"State,omitempty"`
	Claims   bool              `json:"Claims,omitempty"`
	Digest   string            `json:"Digest,omitempty"` // hexadecimal
	Granted  bool              `json:"Granted,omitempty"`
	UsedIDs  []wireUsedID      `json:"Used,omitempty"`
}

// wireState is the state that a process transfers to its successor. Durations are in nanoseconds. A point in time is
// sent as an age, the time since then.
type wireState struct {
	Excluded   []policy.ExecutorID `json:"Outs"`
	Readmitted []wireReadmitted    `json:"Backs"`
	Drained    bool                `json:"Drained"`
	Endpoints  []wireEndpoint      `json:"List"`
	Learned    wireLearned         `json:"Known"`
	ClassNames []string            `json:"Names"`
	UsedIDs    []wireUsedID        `json:"Used,omitempty"`
	Claims     bool                `json:"Claims,omitempty"`
}

// wireUsedID is the ID of a job that must not run again.
type wireUsedID struct {
	Digest string        `json:"Digest"` // hexadecimal
	Age    time.Duration `json:"Ago"`
}

// wireReadmitted is an executor that operators have readmitted.
type wireReadmitted struct {
	Executor policy.ExecutorID `json:"Executor"`
	Age      time.Duration     `json:"Ago"`
}

// wireEndpoint is an entry of the endpoint list.
type wireEndpoint struct {
	Executor policy.ExecutorID    `json:"Executor"`
	Zone     policy.ZoneID        `json:"Zone"`
	Kind     policy.KindID        `json:"Kind"`
	Cell     policy.CellID        `json:"Cell"`
	State    policy.EndpointState `json:"State"`
	Weight   float64              `json:"Weight"`
	Age      time.Duration        `json:"Started"`
	LongAgo  bool                 `json:"LongAgo"`
	Addr     string               `json:"Addr"`
}

// wireLearned is the policy's learned state.
type wireLearned struct {
	Nodes       int            `json:"Nodes"`
	Classes     []wireClass    `json:"Tracks"`
	Kinds       []wireKind     `json:"Kinds"`
	Executors   []wireExecutor `json:"Executors"`
	MeanValue   float64        `json:"MeanEarnings"`
	MeanDensity float64        `json:"MeanDensity"`
}

// wireClass is the learned state of a job class.
type wireClass struct {
	ID         policy.JobClassID `json:"ID"`
	MeanWork   time.Duration     `json:"MeanWork"`
	Samples    int               `json:"Learnt"`
	FullBudget time.Duration     `json:"FullBudget"`
	Requested  float64           `json:"Asked"`
	Earned     float64           `json:"Given"`
	UnitValue  float64           `json:"Unit"`
}

// wireKind is the learned state of an executor kind.
type wireKind struct {
	ID       policy.KindID `json:"ID"`
	Pace     float64       `json:"Pace"`
	Size     float64       `json:"Size"`
	Slots    float64       `json:"Places"`
	Parallel int           `json:"Parallel"`
}

// wireExecutor is the learned state of an executor.
type wireExecutor struct {
	ID          policy.ExecutorID `json:"ID"`
	Quota       int               `json:"Quota"`
	RunTime     float64           `json:"Runs"`
	Work        float64           `json:"Works"`
	StartWait   time.Duration     `json:"StartWait"`
	EjectedFor  time.Duration     `json:"HeldFor"`
	InFlightCap int               `json:"InCap"`
	Timeouts    int               `json:"Silences"`
}

// encode encodes a message as a line, including the newline.
func encode(message node.HandoffMessage) ([]byte, error) {
	wire := wireMessage{Version: version, Kind: kindNames[message.Kind], Seq: message.Seq, Executor: message.Executor,
		Claims: message.Claims, Granted: message.Granted, UsedIDs: convert(message.UsedIDs, usedIDToWire)}
	if message.Kind == node.ClaimID {
		wire.Digest = hex.EncodeToString(message.Digest[:])
	}
	if message.State != nil {
		wire.State = stateToWire(message.State)
	}
	if message.Kind == node.RelayCommand {
		wire.Command = commandNames[message.Command]
	}
	line, err := json.Marshal(wire)
	return append(line, '\n'), err
}

// decode decodes a line. It ignores fields that this version of the program doesn't know.
func decode(line []byte) (message node.HandoffMessage, err error) {
	var wire wireMessage
	if err := json.Unmarshal(line, &wire); err != nil {
		return message, fmt.Errorf("malformed message: %w", err)
	}
	if wire.Version != version {
		return message, fmt.Errorf("protocol version %d, this process speaks version %d", wire.Version, version)
	}
	kind := slices.Index(kindNames, wire.Kind)
	if kind < 0 {
		return message, fmt.Errorf("unknown message kind %.40q", wire.Kind)
	}
	if wire.Kind == kindNames[node.StateTransfer] && wire.State == nil {
		return message, errors.New("message without the state that it should transfer")
	}
	message = node.HandoffMessage{Kind: node.HandoffKind(kind), Seq: wire.Seq, Executor: wire.Executor, Claims: wire.Claims, Granted: wire.Granted}
	if message.Kind == node.ClaimID {
		if message.Digest, err = digestFromWire(wire.Digest); err != nil {
			return message, err
		}
	}
	if message.UsedIDs, err = usedIDsFromWire(wire.UsedIDs); err != nil {
		return message, err
	}
	if wire.State != nil {
		message.State = stateFromWire(wire.State)
		if message.State.UsedIDs, err = usedIDsFromWire(wire.State.UsedIDs); err != nil {
			return message, err
		}
	}
	if message.Kind == node.RelayCommand {
		command := slices.Index(commandNames, wire.Command)
		if command < 0 || wire.Command == "" {
			return message, fmt.Errorf("unknown command %.40q", wire.Command)
		}
		message.Command = node.AdminCommand(command)
	}
	return message, nil
}

// convert applies a function to each element of a slice. It returns nil only for a nil slice, because nil and empty
// slices have different encodings.
func convert[From, To any](list []From, convertOne func(From) To) []To {
	if list == nil {
		return nil
	}
	out := make([]To, len(list))
	for i, v := range list {
		out[i] = convertOne(v)
	}
	return out
}

func stateToWire(state *node.HandoffState) *wireState {
	return &wireState{
		Excluded: state.Excluded,
		Readmitted: convert(state.Readmitted, func(r node.ReadmittedExecutor) wireReadmitted {
			return wireReadmitted{Executor: r.Executor, Age: r.Age}
		}),
		Drained: state.Drained,
		Endpoints: convert(state.Endpoints, func(e node.Endpoint) wireEndpoint {
			return wireEndpoint{Executor: e.Executor, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Weight: e.Weight,
				Age: e.StartedAt, LongAgo: e.StartedLongAgo, Addr: e.Addr}
		}),
		Learned:    learnedToWire(state.Learned),
		ClassNames: state.ClassNames,
		UsedIDs:    convert(state.UsedIDs, usedIDToWire),
		Claims:     state.Claims,
	}
}

func usedIDToWire(id node.UsedID) wireUsedID {
	return wireUsedID{Digest: hex.EncodeToString(id.Digest[:]), Age: id.Age}
}

func usedIDsFromWire(wire []wireUsedID) (list []node.UsedID, err error) {
	for _, id := range wire {
		digest, err := digestFromWire(id.Digest)
		if err != nil {
			return nil, err
		}
		list = append(list, node.UsedID{Digest: digest, Age: id.Age})
	}
	return list, nil
}

func digestFromWire(text string) (digest node.IDDigest, err error) {
	bytes, err := hex.DecodeString(text)
	if err != nil || len(bytes) != len(digest) {
		return digest, fmt.Errorf("malformed digest of an ID %.40q", text)
	}
	return node.IDDigest(bytes), nil
}

func stateFromWire(wire *wireState) *node.HandoffState {
	return &node.HandoffState{
		Excluded: wire.Excluded,
		Readmitted: convert(wire.Readmitted, func(r wireReadmitted) node.ReadmittedExecutor {
			return node.ReadmittedExecutor{Executor: r.Executor, Age: r.Age}
		}),
		Drained: wire.Drained,
		Endpoints: convert(wire.Endpoints, func(e wireEndpoint) node.Endpoint {
			return node.Endpoint{Addr: e.Addr, Endpoint: policy.Endpoint{Executor: e.Executor, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
				State: e.State, Weight: e.Weight, StartedAt: e.Age, StartedLongAgo: e.LongAgo}}
		}),
		Learned:    learnedFromWire(wire.Learned),
		ClassNames: wire.ClassNames,
		Claims:     wire.Claims,
	}
}

func learnedToWire(learned policy.LearnedState) wireLearned {
	return wireLearned{
		Nodes: learned.Nodes,
		Classes: convert(learned.Classes, func(c policy.LearnedClass) wireClass {
			return wireClass{ID: c.ID, MeanWork: c.MeanWork, Samples: c.Samples, FullBudget: c.FullBudget, Requested: c.RequestedValue,
				Earned: c.EarnedValue, UnitValue: c.UnitValue}
		}),
		Kinds: convert(learned.Kinds, func(k policy.LearnedKind) wireKind {
			return wireKind{ID: k.ID, Pace: k.Pace, Size: k.Size, Slots: k.ReportedSlots, Parallel: k.Concurrency}
		}),
		Executors: convert(learned.Executors, func(e policy.LearnedExecutor) wireExecutor {
			return wireExecutor{ID: e.ID, Quota: e.Quota, RunTime: e.RunTime, Work: e.Work, StartWait: e.StartWait,
				EjectedFor: e.EjectedFor, InFlightCap: e.InFlightCap, Timeouts: e.Timeouts}
		}),
		MeanValue:   learned.MeanValue,
		MeanDensity: learned.MeanDensity,
	}
}

func learnedFromWire(wire wireLearned) policy.LearnedState {
	return policy.LearnedState{
		Nodes: wire.Nodes,
		Classes: convert(wire.Classes, func(c wireClass) policy.LearnedClass {
			return policy.LearnedClass{ID: c.ID, MeanWork: c.MeanWork, Samples: c.Samples, FullBudget: c.FullBudget, RequestedValue: c.Requested,
				EarnedValue: c.Earned, UnitValue: c.UnitValue}
		}),
		Kinds: convert(wire.Kinds, func(k wireKind) policy.LearnedKind {
			return policy.LearnedKind{ID: k.ID, Pace: k.Pace, Size: k.Size, ReportedSlots: k.Slots, Concurrency: k.Parallel}
		}),
		Executors: convert(wire.Executors, func(e wireExecutor) policy.LearnedExecutor {
			return policy.LearnedExecutor{ID: e.ID, Quota: e.Quota, RunTime: e.RunTime, Work: e.Work, StartWait: e.StartWait,
				EjectedFor: e.EjectedFor, InFlightCap: e.InFlightCap, Timeouts: e.Timeouts}
		}),
		MeanValue:   wire.MeanValue,
		MeanDensity: wire.MeanDensity,
	}
}
