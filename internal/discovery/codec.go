package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"birchstair/internal/node"
	"birchstair/policy"
)

const path = "/api/targets"

func since(version int64, hold time.Duration) string {
	return fmt.Sprintf("?from=%d&hold_ms=%d", version, hold.Milliseconds())
}

// update is what a call brought.
type update struct {
	version   int64
	complete  bool
	endpoints []node.Endpoint
}

var states = map[string]policy.EndpointState{"ready": policy.Available, "draining": policy.Draining, "gone": policy.Removed}

// decode reads an answer of discovery; its words go no further.
func (n Names) decode(text []byte) (update, error) {
	var w struct {
		Seq   *int64
		Whole bool
		Hosts []struct {
			Host   policy.ExecutorID
			Dial   string
			Site   string
			Class  string
			Block  policy.CellID
			Health string
			Share  *float64
			Born   int64 `json:"born_ms"`
		}
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return update{}, malformedError{fmt.Errorf("the list makes no sense: %v", err)}
	}
	if w.Seq == nil {
		return update{}, malformedError{fmt.Errorf("the list has no seq")}
	}
	got := update{version: *w.Seq, complete: w.Whole, endpoints: make([]node.Endpoint, 0, len(w.Hosts))}
	for _, h := range w.Hosts {
		state, ok := states[h.Health]
		_, err := netip.ParseAddrPort(h.Dial)
		if !ok || h.Host == "" || err != nil && state != policy.Removed {
			return update{}, malformedError{fmt.Errorf("the list's entry %.40q makes no sense", h.Host)}
		}
		weight := 1.0
		if h.Share != nil {
			weight = *h.Share
		}
		got.endpoints = append(got.endpoints, node.Endpoint{Addr: h.Dial, Endpoint: policy.Endpoint{
			Executor: h.Host, Zone: policy.ZoneID(number(n.Zones, h.Site)), Cell: h.Block,
			Kind: policy.KindID(number(n.Kinds, h.Class)), State: state, Weight: weight,
			StartedAt: time.UnixMilli(h.Born).Sub(n.Start), StartedLongAgo: h.Born == 0}})
	}
	return got, nil
}

// number is a name's place; one that the settings do not know comes after all of them.
func number(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
