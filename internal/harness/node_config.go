package harness

import (
	"encoding/json"
	"os"
)

// NodeConfig is the configuration of a node as the harness writes it, by the keys of the configuration file. Fields with omitempty are
// left out of the file if they are not set. The order of fields is that of the file.
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

// NodeSettings are the settings of a node's policy and edges. Times are in seconds.
type NodeSettings struct {
	Zones      []string       `json:"areas"` // zones
	Nodes      int            `json:"balancers"`
	Caps       NodeCaps       `json:"caps"`
	Discovery  string         `json:"discovery"`
	Domain     NodeDomain     `json:"domain"`
	ValuePer   string         `json:"earnings-per"` // unit of a value: "work" or "request"
	Kinds      []string       `json:"flavors"`      // executor kinds
	Zone       int            `json:"locality"`     // index of the node's zone
	Node       int            `json:"my-number"`
	Prices     *NodePrices    `json:"prices,omitempty"`
	Quantum    float64        `json:"quantum-s"`
	Report     *NodeReport    `json:"report,omitempty"`
	Rules      NodeRules      `json:"rules"`
	ScoreParts NodeScoreParts `json:"score-parts"`
	JobClasses []NodeJobClass `json:"tracks"`
}

// NodeCaps are what a node may do.
type NodeCaps struct {
	Cancel        bool    `json:"cancel"`
	IdleTimeout   float64 `json:"conn-idle-s"`
	DialTimeout   float64 `json:"dial-timeout-s"`
	MaxAttempts   int     `json:"max-allocations"` // attempts of a batch job
	MaxRetryAfter float64 `json:"max-retry-after-s"`
	Gossip        *bool   `json:"peers,omitempty"` // leases
	RetryAfter    bool    `json:"retry-after"`
	Hedging       *bool   `json:"second-copies,omitempty"` // hedging
}

// NodeDomain is what executors send.
type NodeDomain struct {
	ProgressInterval *float64 `json:"progress-s,omitempty"`
	MeaningX0        string   `json:"report-x0"`
	StartNotices     bool     `json:"tells-start"`
}

// NodePrices are prices of placements.
type NodePrices struct {
	CrossZone float64 `json:"cross-zone"`
}

// NodeReport describes the load reports of executors.
type NodeReport struct {
	Fields []string `json:"fields"`
	How    string   `json:"how"`
}

// InlineReport is the load report of the emulated executors.
func InlineReport() *NodeReport {
	return &NodeReport{Fields: []string{"active", "waiting", "x0"}, How: "inline"}
}

// NodeRules describe the slow start of executors.
type NodeRules struct {
	SlowStartCapacity float64 `json:"cold-share"`
	OverloadMultiple  float64 `json:"fall-multiple"`
	OverloadWindow    float64 `json:"fall-s"`
	SlowStartDuration float64 `json:"warm-within-s"`
}

// NodeScoreParts are the weights of the parts of a score.
type NodeScoreParts struct {
	Class *float64 `json:"class,omitempty"`
	Whole float64  `json:"whole"`
}

// NodeJobClass is a job class.
type NodeJobClass struct {
	RunTimeFactor    *float64 `json:"aim-stretch,omitempty"` // run time factor
	DedupGroup       string   `json:"dedup-scope,omitempty"`
	DedupWindow      *float64 `json:"dedup-window-s,omitempty"`
	Value            float64  `json:"earnings"`
	LateValue        float64  `json:"late-earnings,omitempty"`
	Name             string   `json:"name"`
	Deadline         float64  `json:"outer-limit-s"`
	LatencyObjective float64  `json:"quoted-time-s"`
	Idempotency      string   `json:"repeat"`
}

// WriteFile writes the configuration to a file.
func (c NodeConfig) WriteFile(path string) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
