package store_test

import (
	"errors"
	"math/rand/v2"
	"testing"

	"birchstair/internal/emulator"
	"birchstair/internal/store"
)

// TestInvalidRecordFailsAlone guards against one job that stops all others: a record that could not be encoded made the store
// fail, so that until a restart no record of any job was written. The order of events: records of other jobs are pending before and
// after the invalid one, and are committed together with it.
func TestInvalidRecordFailsAlone(t *testing.T) {
	for title, invalid := range map[string]store.Record{
		"too long":        accepted("long", 2<<20),
		"without an id":   accepted("", 10),
		"an unknown kind": {Kind: store.Released + 1, ID: "kind", At: day},
	} {
		t.Run(title, func(t *testing.T) {
			disk := emulator.NewDisk(rand.New(rand.NewPCG(1, 1)))
			s, err := store.Open(disk, store.Options{SegmentBytes: 1 << 20})
			if err != nil {
				t.Fatal(err)
			}
			results := make(chan error, 3)
			for _, r := range []store.Record{accepted("before", 10), invalid, accepted("after", 10)} {
				s.Append(r, func(err error) {
					if (r.ID == invalid.ID) != errors.Is(err, store.ErrInvalidRecord) {
						t.Errorf("append of job %q: error %v", r.ID, err)
					}
					results <- err
				})
			}
			for range cap(results) {
				<-results
			}
			if err := appendTo(s, accepted("later", 10)); err != nil {
				t.Errorf("append after the invalid record: %v", err)
			}
			closeStore(t, s)
			if s, err = store.Open(disk, store.Options{SegmentBytes: 1 << 20}); err != nil {
				t.Fatal(err)
			}
			for _, id := range []string{"before", "after", "later"} {
				if _, ok := s.Get(id); !ok {
					t.Errorf("job %s was not recovered", id)
				}
			}
			closeStore(t, s)
		})
	}
}
