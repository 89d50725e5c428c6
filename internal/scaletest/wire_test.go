package scaletest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"birchstair/internal/golden"
)

// setAllFields sets every field of a struct, and of structs within it, to a value that is not the zero value. Fields
// with omitempty then appear in the JSON form.
func setAllFields(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			setAllFields(value.Field(i))
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		setAllFields(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		setAllFields(value.Index(0))
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		setAllFields(key)
		setAllFields(element)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString("text")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(1.5)
	case reflect.Uint64:
		value.SetUint(2)
	default:
		value.SetInt(3)
	}
}

// TestWireForms pins the JSON form of results and of the messages between the processes of a run, with every field set
// and with none.
func TestWireForms(t *testing.T) {
	text := ""
	for _, message := range []any{&Row{}, &Fit{}, &stubJob{}, &stubReady{}, &Counts{}, &policyFigures{}} {
		for _, set := range []bool{false, true} {
			if set {
				setAllFields(reflect.ValueOf(message).Elem())
			}
			line, err := json.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			text += string(line) + "\n"
			back := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err := json.Unmarshal(line, back); err != nil || !reflect.DeepEqual(back, message) {
				t.Errorf("%s was decoded as %+v, error %v", line, back, err)
			}
		}
	}
	golden.Compare(t, "wire.jsonl", text)
}

// TestNodeFiles pins the configuration and the operator's file that are written for a node.
func TestNodeFiles(t *testing.T) {
	p := &realNode{name: "n1", number: 1, dir: t.TempDir(), clientAddress: "127.9.0.1:8081", adminAddress: "127.9.0.1:8082", gossipAddress: "127.9.0.1:7947", valueScale: 2}
	if err := p.writeConfig(Point{Seed: 7, ClusterSize: 9, PriorityLevels: 3, MemoryMB: 192, Sockets: 512}, "127.0.0.1:9000"); err != nil {
		t.Fatal(err)
	}
	if err := p.writeSite([]string{"127.9.0.2:7947", "127.9.0.3:7947"}); err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, name := range []string{"config.json", "site.toml"} {
		content, err := os.ReadFile(filepath.Join(p.dir, name))
		if err != nil {
			t.Fatal(err)
		}
		text += name + "\n" + string(content) + "\n"
	}
	golden.Compare(t, "node_files.txt", text)
}

// TestPoints pins the points of a round, in their order, with each dimension varied.
func TestPoints(t *testing.T) {
	s := smallestSweep()
	s.PriorityLevels, s.Rates, s.Concurrency, s.Queueing, s.Baseline, s.Window = []int{1, 64}, []int{50}, []int{100}, []int{400}, true, time.Second
	text := ""
	for _, point := range s.points(1) {
		line, err := json.Marshal(point)
		if err != nil {
			t.Fatal(err)
		}
		text += string(line) + "\n"
	}
	golden.Compare(t, "points.jsonl", text)
}
