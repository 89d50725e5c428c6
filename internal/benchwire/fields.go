package benchwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"birchstair/policy"
)

// fields are the name=value pairs of one line; they point into it.
type fields struct {
	pairs []pair
}

type pair struct{ key, value []byte }

// textField runs to the end of its line.
const textField = "profile-data"

// split reads a line and gives its message's name.
func (f *fields) split(line []byte) (string, error) {
	f.pairs = f.pairs[:0]
	name, rest, _ := bytes.Cut(line, []byte{' '})
	for len(rest) > 0 {
		eq := bytes.IndexByte(rest, '=')
		if eq <= 0 {
			return "", fmt.Errorf("malformed line: no name=value in %q", clip(rest))
		}
		key := rest[:eq]
		if bytes.IndexByte(key, ' ') >= 0 {
			return "", fmt.Errorf("malformed line: no name=value in %q", clip(rest))
		}
		value := rest[eq+1:]
		rest = nil
		if string(key) != textField {
			value, rest, _ = bytes.Cut(value, []byte{' '})
		}
		f.pairs = append(f.pairs, pair{key, value})
	}
	return messageName(name), nil
}

// messageName gives a message's name without a new string for the common ones.
func messageName(name []byte) string {
	for _, known := range [...]string{"SYNC", "COMMIT", "DONE", "HEARTBEAT", "SUBMIT", "REMINDER", "ENTRY"} {
		if string(name) == known {
			return known
		}
	}
	return string(name)
}

func clip(text []byte) []byte { return text[:min(len(text), 40)] }

func (f *fields) get(key string) ([]byte, bool) {
	for _, p := range f.pairs {
		if string(p.key) == key {
			return p.value, true
		}
	}
	return nil, false
}

func (f *fields) need(key string) ([]byte, error) {
	value, ok := f.get(key)
	if !ok || len(value) == 0 {
		return nil, fmt.Errorf("field %s is missing", key)
	}
	return value, nil
}

// number reads a number that may be absent.
func (f *fields) number(key string) (float64, error) {
	text, ok := f.get(key)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("field %s: bad number %q", key, clip(text))
	}
	return x, nil
}

func (f *fields) whole(key string, must bool) (int64, error) {
	text, ok := f.get(key)
	if !ok {
		if must {
			return 0, fmt.Errorf("field %s is missing", key)
		}
		return 0, nil
	}
	x, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("field %s: bad number %q", key, clip(text))
	}
	return x, nil
}

// allocation reads which allocation of which batch job a line is about.
func (f *fields) allocation() (id []byte, shot int64, err error) {
	if id, err = f.need("id"); err == nil {
		shot, err = f.whole("shot", true)
	}
	return id, shot, err
}

// report reads the wanted values of a load report, if one came along that has them all.
func (f *fields) report(at [3]int) (values [3]float64, ok bool) {
	text, ok := f.get("gauge")
	if !ok || min(at[0], at[1], at[2]) < 0 {
		return values, false
	}
	for i := 0; len(text) > 0; i++ {
		var one []byte
		one, text, _ = bytes.Cut(text, []byte{','})
		if w := slices.Index(at[:], i); w >= 0 {
			x, err := strconv.ParseFloat(string(one), 64)
			if err != nil {
				return values, false
			}
			values[w] = x
			at[w] = -1
		}
	}
	return values, at == [3]int{-1, -1, -1}
}

func (f *fields) seconds(key string) (time.Duration, error) {
	if _, err := f.need(key); err != nil {
		return 0, err
	}
	return f.secondsOr0(key)
}

func (f *fields) secondsOr0(key string) (time.Duration, error) {
	x, err := f.number(key)
	return seconds(x), err
}

// seconds turns wire seconds into a span, rounded to the wire's microsecond.
func seconds(x float64) time.Duration { return time.Duration(math.Round(x*1e6)) * time.Microsecond }

var repeats = map[string]policy.Repeat{
	"repeatable": policy.Repeatable, "by_key": policy.Tagged, "once": policy.OnceOnly,
}

var groups = map[string]policy.Group{
	"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell,
}

// readSettings decodes the settings, skipping keys it does not know, and says where load reports have what
// the module wants of them.
func readSettings(text []byte) (s policy.Settings, load [3]int, err error) {
	var w struct {
		Balancers int
		Number    int `json:"my-number"`
		Locality  int
		Quantum   float64 `json:"quantum-s"`
		Discovery string
		Weights   string
		PerWork   string  `json:"earnings-per"`
		Overage   float64 `json:"overage-earnings"`
		Prices    struct {
			CrossZone float64 `json:"cross-zone"`
		}
		ScoreParts map[string]float64 `json:"score-parts"`
		Caps       struct {
			Cancel       bool
			Peers        bool
			Allocations  int     `json:"max-allocations"`
			RetryAfter   bool    `json:"retry-after"`
			MaxComeBackS float64 `json:"max-retry-after-s"`
		}
		Rules struct {
			AskWithin    float64 `json:"ask-within-s"`
			ColdShare    float64 `json:"cold-share"`
			WarmWithin   float64 `json:"warm-within-s"`
			FallMultiple float64 `json:"fall-multiple"`
			FallS        float64 `json:"fall-s"`
		}
		Domain struct {
			Kind       []int     `json:"class-kind"`
			Stretch    []float64 `json:"class-stretch"`
			TellsStart bool      `json:"tells-start"`
			X0         string    `json:"report-x0"`
		}
		Report   struct{ Fields []string }
		Projects []struct {
			Quota float64 `json:"quota-per-s"`
		}
		Tracks []struct {
			Stretch  float64 `json:"aim-stretch"`
			Quoted   float64 `json:"quoted-time-s"`
			Limit    float64 `json:"outer-limit-s"`
			Repeat   string
			Scope    string  `json:"dedup-scope"`
			Window   float64 `json:"dedup-window-s"`
			Late     float64 `json:"late-earnings"`
			Earnings float64
		}
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return s, load, fmt.Errorf("settings: %v", err)
	}
	for i, name := range [...]string{"active", "waiting", "x0"} {
		load[i] = slices.Index(w.Report.Fields, name)
	}
	if w.Domain.X0 != "free slots" {
		load[2] = -1
	}
	s = policy.Settings{
		Node: w.Number, Nodes: w.Balancers, Zone: policy.ZoneID(w.Locality), Quantum: seconds(w.Quantum),
		LiveWeights: w.Weights == "live", MustAsk: w.Discovery == "ask", AskWithin: seconds(w.Rules.AskWithin),
		EarnPerWork: w.PerWork == "work", OverageEarnings: w.Overage, CrossZonePrice: w.Prices.CrossZone,
		WholeWeight:    w.ScoreParts["whole"] + w.ScoreParts["worst-window"],
		TrackWeight:    w.ScoreParts["worst-class"],
		MaxAllocations: w.Caps.Allocations, MayCancel: w.Caps.Cancel, MayTell: w.Caps.Peers,
		ColdShare: w.Rules.ColdShare, WarmWithin: seconds(w.Rules.WarmWithin),
		FallMultiple: w.Rules.FallMultiple, FallWindow: seconds(w.Rules.FallS),
		TellsStart: w.Domain.TellsStart,
	}
	if w.Caps.RetryAfter {
		s.MaxComeBack = seconds(w.Caps.MaxComeBackS)
	}
	for _, p := range w.Projects {
		s.Tenant = append(s.Tenant, policy.Tenant{QuotaPerS: p.Quota})
	}
	for i, t := range w.Tracks {
		repeat, ok := repeats[t.Repeat]
		if !ok {
			return s, load, fmt.Errorf("settings: track %d: unknown repeat %q", i, t.Repeat)
		}
		group, ok := groups[t.Scope]
		if !ok {
			return s, load, fmt.Errorf("settings: track %d: unknown dedup-scope %q", i, t.Scope)
		}
		track := policy.Track{Repeat: repeat, Group: group, GroupWindow: seconds(t.Window),
			Quoted: seconds(t.Quoted), Stretch: t.Stretch, OuterLimit: seconds(t.Limit), Earnings: t.Earnings,
			LateEarnings: t.Late, Kind: policy.AnyKind}
		if i < len(w.Domain.Kind) {
			track.Kind = policy.KindID(w.Domain.Kind[i])
		}
		if i < len(w.Domain.Stretch) {
			track.Stretch = w.Domain.Stretch[i]
		}
		s.Tracks = append(s.Tracks, track)
	}
	return s, load, nil
}
