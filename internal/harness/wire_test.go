package harness

import (
	"encoding/json"
	"reflect"
	"testing"

	"birchstair/internal/golden"
)

// TestResultWireForm pins the JSON form of a result, with each field set and with none.
func TestResultWireForm(t *testing.T) {
	set := Result{Seed: 1, Asked: 2, Earned: 3, Best: 4, Works: 5, Tries: map[string]int{"handled": 6}, Allocations: 7, Work: 8, Finished: 9,
		Fell: 10, ColdMost: 11, Late: 12, WentWaiting: 13, SentLate: 14, Views: [][]string{{"a"}, nil}, Wrong: []string{"w"}}
	if value := reflect.ValueOf(set); value.Kind() == reflect.Struct {
		for i := range value.NumField() {
			if value.Field(i).IsZero() {
				t.Errorf("%s is not set", value.Type().Field(i).Name)
			}
		}
	}
	text := ""
	for _, result := range []Result{{}, set} {
		line, err := json.Marshal(result)
		if err != nil {
			t.Fatal(err)
		}
		text += string(line) + "\n"
	}
	golden.Compare(t, "result.jsonl", text)
}
