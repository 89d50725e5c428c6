package discovery

import (
	"encoding/json"
	"fmt"

	"birchstair/internal/node"
	"birchstair/policy"
)

// CachedList is an endpoint list that discovery sent earlier; it may be old.
type CachedList struct {
	Endpoints []node.Endpoint

	version  int64
	complete bool // it is a complete list, so that changes since its version bring it up to date
}

// DecodeCached reads a cached list in discovery's wire form. An empty text or null is an empty list.
func (n Names) DecodeCached(text json.RawMessage) (CachedList, error) {
	if len(text) == 0 || string(text) == "null" {
		return CachedList{}, nil
	}
	u, err := n.decode(text)
	if err != nil {
		return CachedList{}, fmt.Errorf("known: %w", err)
	}
	return CachedList{Endpoints: u.endpoints, version: u.version, complete: u.complete}, nil
}

// apply is the complete list that results from the cached one and the changes since its version.
func (c CachedList) apply(changes update) update {
	result := update{version: changes.version, complete: true}
	changed := map[policy.ExecutorID]bool{}
	for _, e := range changes.endpoints {
		changed[e.Executor] = true
		if e.State != policy.Removed {
			result.endpoints = append(result.endpoints, e)
		}
	}
	for _, e := range c.Endpoints {
		if !changed[e.Executor] {
			result.endpoints = append(result.endpoints, e)
		}
	}
	return result
}
