package discovery

import (
	"encoding/json"
	"fmt"

	"birchstair/internal/node"
	"birchstair/policy"
)

// CachedList is an endpoint list that discovery sent earlier. It may be outdated.
type CachedList struct {
	Endpoints []node.Endpoint

	version  int64
	complete bool // whether the list is complete; only a complete list can be brought up to date with later changes
}

// DecodeCached decodes a cached list from discovery's wire form. An empty text and the text null yield an empty list.
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

// apply returns the complete list that results from applying changes to the cached list. They must be the changes since
// the cached list's version.
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
