package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

const (
	targetsPath        = "/api/targets"
	maxResponseBytes   = 4 << 20
	maxExecutorIDBytes = 4 << 10 // longest ID of an executor; durable jobs store it with each attempt
)

// url returns the URL of the request to the discovery service at the given address.
func (r *request) url(addr string) string {
	url := "http://" + addr + targetsPath
	if r.complete {
		return url
	}
	return url + fmt.Sprintf("?from=%d&hold_ms=%d", r.version, r.longPoll.Milliseconds())
}

// wireList is a response of discovery: the complete list, or the changes since the requested version.
type wireList struct {
	Version  *int64         `json:"seq"`
	Complete bool           `json:"whole"`
	Hosts    []wireEndpoint `json:"hosts"`
}

// wireEndpoint is an entry of a wireList.
type wireEndpoint struct {
	Executor    policy.ExecutorID `json:"host"`
	Addr        string            `json:"dial"`
	Zone        string            `json:"site"`
	Kind        string            `json:"class"`
	Cell        policy.CellID     `json:"block"`
	State       string            `json:"health"`
	Weight      *float64          `json:"share"`   // weight of the executor; 1 if missing
	StartedAtMS int64             `json:"born_ms"` // time of the executor's last start, as Unix time in milliseconds; 0 if it started long ago
}

// statesByName maps the values of the key health to states of an executor.
var statesByName = map[string]policy.EndpointState{"ready": policy.Available, "draining": policy.Draining, "gone": policy.Removed}

// Names converts names and times in discovery's lists to the indexes and durations that the node uses. Zones and Kinds
// are the names of zones and executor kinds in the settings, by index.
type Names struct {
	Zones, Kinds []string
	Start        time.Time // start time of the node; its state machine represents a time as the duration since Start
}

// update is a decoded response: the complete list, or the changes since the requested version.
type update struct {
	version   int64
	complete  bool
	endpoints []node.Endpoint
}

// decode decodes a response of discovery. Only this file depends on the wire form of responses.
func (n Names) decode(text []byte) (update, error) {
	var list wireList
	if err := json.Unmarshal(text, &list); err != nil {
		return update{}, malformedf("malformed list: %w", err)
	}
	if list.Version == nil {
		return update{}, malformedf("malformed list: no seq")
	}
	u := update{version: *list.Version, complete: list.Complete, endpoints: make([]node.Endpoint, 0, len(list.Hosts))}
	for _, host := range list.Hosts {
		endpoint, err := n.endpoint(host)
		if err != nil {
			return update{}, err
		}
		u.endpoints = append(u.endpoints, endpoint)
	}
	return u, nil
}

// endpoint converts an entry of a list. An entry without a valid executor, with an unknown state or without a valid
// address is an error. Only the entry of a removed executor needs no address.
func (n Names) endpoint(host wireEndpoint) (node.Endpoint, error) {
	state, known := statesByName[host.State]
	if !known || host.Executor == "" || len(host.Executor) > maxExecutorIDBytes || !validAddr(host.Addr) && state != policy.Removed {
		return node.Endpoint{}, malformedf("malformed list: entry %.40q", host.Executor)
	}
	weight := 1.0
	if host.Weight != nil {
		weight = *host.Weight
	}
	return node.Endpoint{Addr: host.Addr, Endpoint: policy.Endpoint{
		Executor:       host.Executor,
		Zone:           policy.ZoneID(index(n.Zones, host.Zone)),
		Cell:           host.Cell,
		Kind:           policy.KindID(index(n.Kinds, host.Kind)),
		State:          state,
		Weight:         weight,
		StartedAt:      time.UnixMilli(host.StartedAtMS).Sub(n.Start),
		StartedLongAgo: host.StartedAtMS == 0,
	}}, nil
}

// validAddr reports whether a text is an IP address and a port. The zone of an IPv6 address can have no characters but
// visible ASCII, because the address goes on in headers and URLs.
func validAddr(text string) bool {
	addr, err := netip.ParseAddrPort(text)
	return err == nil && !strings.ContainsFunc(addr.Addr().Zone(), func(r rune) bool { return r <= ' ' || r > '~' })
}

// index returns the index of a name in names, or len(names) if it is not among them.
func index(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
