package harness

import (
	"encoding/json"
	"os"
)

// NodeConfig is the part of a node's configuration file that the harness writes. The platform defines the keys, so
// their names differ from those of the Go fields. Fields with omitempty are left out of the file if they are not set.
// The file has the keys in the order of the fields.
type NodeConfig struct {
	Discovery string       `json:"discovery"`
	Limits    NodeLimits   `json:"limits"`
	Listen    string       `json:"listen"`
	AdminAddr string       `json:"management"`
	Name      string       `json:"name"`
	Seed      string       `json:"seed"` // 16 hexadecimal digits
	Settings  NodeSettings `json:"settings"`
}

// NodeLimits are the resource limits of a node.
type NodeLimits struct {
	Cores     int `json:"cores"`
	MemoryMiB int `json:"memory_mb"`
	Sockets   int `json:"sockets"`
}

// NodeSettings are the settings of a node's policy and of its network code. Times are in seconds.
type NodeSettings struct {
	Zones      []string       `json:"areas"`     // names of the zones
	Nodes      int            `json:"balancers"` // number of nodes
	Caps       NodeCaps       `json:"caps"`
	Discovery  string         `json:"discovery"`
	Domain     NodeDomain     `json:"domain"`
	ValuePer   string         `json:"earnings-per"` // unit of a job class's value: "work" (per second of work) or "request"
	Kinds      []string       `json:"flavors"`      // names of the executor kinds
	Zone       int            `json:"locality"`     // index of the node's zone in Zones
	Node       int            `json:"my-number"`    // index of this node
	Prices     *NodePrices    `json:"prices,omitempty"`
	Quantum    float64        `json:"quantum-s"`
	Report     *NodeReport    `json:"report,omitempty"`
	Rules      NodeRules      `json:"rules"`
	ScoreParts NodeScoreParts `json:"score-parts"`
	JobClasses []NodeJobClass `json:"tracks"`
}

// NodeCaps are the capabilities and limits of a node.
type NodeCaps struct {
	Cancel        bool    `json:"cancel"`      // whether executors support the cancellation of attempts
	IdleTimeout   float64 `json:"conn-idle-s"` // time after which an executor closes an idle connection, in seconds
	DialTimeout   float64 `json:"dial-timeout-s"`
	MaxAttempts   int     `json:"max-allocations"`   // largest number of attempts of a batch job
	MaxRetryAfter float64 `json:"max-retry-after-s"` // longest Retry-After of a rejection, in seconds
	// Whether nodes may send each other lease messages. Other gossip does not need it.
	Gossip     *bool `json:"peers,omitempty"`
	RetryAfter bool  `json:"retry-after"`             // whether rejections have a Retry-After
	Hedging    *bool `json:"second-copies,omitempty"` // whether a second attempt is allowed while the first is in flight
}

// NodeDomain describes the messages that executors send besides results.
type NodeDomain struct {
	ProgressInterval *float64 `json:"progress-s,omitempty"` // interval of an executor's progress notices, in seconds
	MeaningX0        string   `json:"report-x0"`            // meaning of field x0 of a load report
	StartNotices     bool     `json:"tells-start"`          // whether executors notify a node when an attempt starts
}

// NodePrices are the costs of placements, as multiples of the mean value of a job.
type NodePrices struct {
	CrossZone float64 `json:"cross-zone"`
}

// NodeReport describes the load reports of executors.
type NodeReport struct {
	Fields []string `json:"fields"` // fields of a report, in order
	How    string   `json:"how"`    // how a node receives reports; "inline": with an executor's answers
}

// InlineReport is the load report of the emulated executors.
func InlineReport() *NodeReport {
	return &NodeReport{Fields: []string{"active", "waiting", "x0"}, How: "inline"}
}

// NodeRules describe the slow start of executors. Times are in seconds.
type NodeRules struct {
	SlowStartCapacity float64 `json:"cold-share"` // fraction of its full capacity that an executor has when it starts
	// Limit on the work sent to an executor in slow start, as a multiple of the executor's capacity.
	OverloadMultiple  float64 `json:"fall-multiple"`
	OverloadWindow    float64 `json:"fall-s"`        // window over which the work sent in slow start is summed
	SlowStartDuration float64 `json:"warm-within-s"` // time from an executor's start until it has its full capacity
}

// NodeScoreParts are the weights in the value that the policy maximizes.
type NodeScoreParts struct {
	Class *float64 `json:"class,omitempty"` // has no effect: a node reads the weight of a class under another key
	Whole float64  `json:"whole"`           // weight of the total value over all job classes
}

// NodeJobClass is the configuration of a job class. Times are in seconds.
type NodeJobClass struct {
	RunTimeFactor *float64 `json:"aim-stretch,omitempty"` // multiple of a job's work that is added to its latency objective
	DedupGroup    string   `json:"dedup-scope,omitempty"`
	DedupWindow   *float64 `json:"dedup-window-s,omitempty"` // time for which executors remember an idempotency key
	Value         float64  `json:"earnings"`
	// Fraction of Value for a job that is answered after its latency objective.
	LateValue        float64 `json:"late-earnings,omitempty"`
	Name             string  `json:"name"`
	Deadline         float64 `json:"outer-limit-s"`
	LatencyObjective float64 `json:"quoted-time-s"`
	Idempotency      string  `json:"repeat"`
}

// WriteFile writes the configuration to a file.
func (c NodeConfig) WriteFile(path string) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
