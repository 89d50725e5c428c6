package leases

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchstair/internal/golden"
	"birchstair/policy"
)

var (
	repeatable = JobClass{}
	once       = JobClass{Idempotency: policy.AtMostOnce}
	taggedAll  = JobClass{Idempotency: policy.IdempotentWithKey, DedupWindow: 7 * time.Second}
	taggedZone = JobClass{Idempotency: policy.IdempotentWithKey, DedupGroup: policy.DedupZone, DedupWindow: 7 * time.Second}
)

func text(e Effect) string {
	switch e := e.(type) {
	case KeepJob:
		return "keep " + string(e.ID)
	case KeepSend:
		return fmt.Sprintf("keep that %s goes out under epoch %d to %s", e.ID, e.Send.Epoch, e.Send.Executor)
	case KeepOver:
		return fmt.Sprintf("keep that epoch %d of %s never ran", e.Epoch, e.ID)
	case KeepFinal:
		return fmt.Sprintf("keep the answer of %s: %s %s", e.ID, [...]string{"handled", "pushed back", "broken off"}[e.Final], e.Result)
	case KeepLetGo:
		return "keep that " + string(e.ID) + " is let go"
	case Acknowledge:
		return "acknowledge " + string(e.ID)
	case Arrive:
		return fmt.Sprintf("%s goes to the module for %v", e.ID, e.Budget)
	case LetOut:
		return fmt.Sprintf("let %s out under epoch %d", e.ID, e.Epoch)
	case Ask:
		return fmt.Sprintf("ask %s of epoch %d of %s", e.Executor, e.Epoch, e.ID)
	case Publish:
		return fmt.Sprintf("publish %s", e.ID)
	}
	return ""
}

// story tells a book what happens, and prints it with what follows.
type story struct {
	b   *Book
	out strings.Builder
}

func (s *story) tell(what string, effects []Effect) {
	fmt.Fprintf(&s.out, "%s\n", what)
	for _, e := range effects {
		if t := text(e); t != "" {
			fmt.Fprintf(&s.out, "    -> %s\n", t)
		}
	}
}

func at(s float64) time.Duration { return time.Duration(s * 1e9) }

// crashed is a start of a node with a batch job on the disk that has gone out, and did or did not prove not to have run.
func (s *story) crashed(name string, set Settings, now, last float64, t JobClass, never bool) {
	s.b = NewBook(set)
	s.tell(fmt.Sprintf("# %s, found at %.0f s, out at 2 s", name, now), s.b.Recover(at(now), at(last), Job{"j", t, at(60)},
		[]Send{{Epoch: 1, Executor: "e", At: at(2), NeverRan: never}}, nil, nil, 0))
}

// Each state, and what leads from it, as a story.
func TestStories(t *testing.T) {
	set := Settings{Room: 1, Keep: 100 * time.Second, AskEvery: time.Second}
	asks := set
	asks.Leases = true
	s := &story{b: NewBook(set)}
	hand := func(id ID, t JobClass, now, limit float64) {
		effects, ok := s.b.HandIn(at(now), Job{id, t, at(limit)})
		s.tell(fmt.Sprintf("%s is handed in at %v s: %v", id, now, ok), effects)
	}
	stands := func(id ID, now float64) { s.tell(fmt.Sprintf("%s stands on the disk", id), s.b.Kept(at(now), id)) }
	send := func(id ID, now float64) {
		e, effects := s.b.Send(at(now), id, "e")
		s.tell(fmt.Sprintf("the module sends %s: epoch %d", id, e), effects)
	}

	s.out.WriteString("# one that goes well, and the next waits for its room\n")
	hand("a", once, 1, 60)
	hand("a", once, 1, 60)
	stands("a", 1)
	hand("b", once, 1, 50)
	stands("b", 1)
	send("b", 1)
	send("a", 2)
	s.tell("its record stands on the disk", s.b.SendKept(at(2), "a", 1))
	s.tell("its connection never came up", s.b.Over(at(3), "a", 1, true))
	s.tell("and is told again", s.b.Over(at(3), "a", 1, true))
	send("a", 3)
	s.tell("the record of the first comes late", s.b.SendKept(at(3), "a", 1))
	s.tell("that of the second comes", s.b.SendKept(at(3), "a", 2))
	s.tell("a is let go too soon", first(s.b.LetGo(at(3), "a")))
	s.tell("the module says handled", s.b.Answered(at(4), "a", Succeeded, []byte("r")))
	s.tell("and again", s.b.Answered(at(4), "a", Failed, nil))
	s.tell("the answer stands on the disk", s.b.FinalKept(at(4), "a"))
	s.tell("a is let go", first(s.b.LetGo(at(5), "a")))

	s.out.WriteString("# waiting until its outer limit, and an answer that nobody fetches\n")
	hand("c", once, 5, 20)
	stands("c", 5)
	s.tell("at 20 s", s.b.Wake(at(20)))
	s.tell("the answer stands on the disk", s.b.FinalKept(at(20), "c"))
	s.tell("at 119 s", s.b.Wake(at(119)))
	s.tell("at 121 s", s.b.Wake(at(121)))

	s.out.WriteString("# not kept: nothing is left of it\n")
	hand("d", once, 130, 200)
	s.tell("the disk is full", s.b.NotKept(at(130), "d"))
	hand("d", once, 131, 200)

	s.out.WriteString("# the node ends: only a result is final\n")
	s.b = NewBook(Settings{Room: 3, Keep: 100 * time.Second})
	for _, id := range []ID{"x", "y", "z"} {
		s.b.HandIn(at(1), Job{id, once, at(60)})
		s.b.Kept(at(1), id)
	}
	send("y", 2)
	s.tell("it is told to stop", s.b.Stop(at(3)))
	s.tell("x is pushed back", s.b.Answered(at(3), "x", Rejected, nil))
	s.tell("y is broken off", s.b.Answered(at(3), "y", Failed, nil))
	s.tell("z is handled", s.b.Answered(at(3), "z", Succeeded, nil))

	s.crashed("repeatable, may have run", set, 5, 2, repeatable, false)
	s.crashed("once-only, provably never ran", set, 5, 2, once, true)
	s.crashed("once-only, may have run, nobody to ask", set, 5, 2, once, false)
	s.crashed("once-only, may have run, past its outer limit", set, 70, 2, once, false)
	s.crashed("once-only, never ran, past its outer limit", set, 70, 2, once, true)
	s.crashed("tagged within all, inside its window", set, 5, 2, taggedAll, false)
	s.tell("pushed back when the window passes: the module does not know that it may have run", s.b.Answered(at(9), "j", Rejected, nil))
	s.crashed("tagged within all, outside its window", set, 10, 2, taggedAll, false)
	s.crashed("tagged within a zone", set, 5, 2, taggedZone, false)
	s.crashed("tagged within all, and the clock was set back", set, 5, 8, taggedAll, false)

	for _, f := range []struct {
		name string
		what Found
	}{{"never begun, and refused from now on", FoundNever}, {"finished", FoundFinished}, {"lost", FoundLost}, {"says nothing of such things", FoundMute}} {
		s.crashed("once-only, may have run", asks, 5, 2, once, false)
		s.tell(f.name, s.b.Told(at(5), "j", 1, f.what, []byte("r")))
	}
	s.crashed("once-only, may have run", asks, 5, 2, once, false)
	s.tell("it can't be reached", s.b.Told(at(5), "j", 1, FoundNothing, nil))
	s.tell("a second later", s.b.Wake(at(6)))
	s.tell("it has it still", s.b.Told(at(6), "j", 1, FoundRunning, nil))
	s.tell("and at the outer limit", s.b.Wake(at(60)))
	s.crashed("once-only, may have run, past its outer limit, asked once all the same", asks, 70, 2, once, false)
	s.tell("finished", s.b.Told(at(70), "j", 1, FoundFinished, []byte("r")))
	golden.Compare(t, "stories.txt", s.out.String())
}

func first(e []Effect, _ bool) []Effect { return e }

// Ten thousand at once: the module gets no more than there is room for, those with the nearest outer limits first.
func TestManyRecovered(t *testing.T) {
	b := NewBook(Settings{Room: 50, Keep: time.Hour})
	arrived := 0
	count := func(effects []Effect) {
		for _, e := range effects {
			if _, ok := e.(Arrive); ok {
				arrived++
			}
		}
	}
	for i := range 10000 {
		count(b.Recover(0, 0, Job{ID(fmt.Sprint(i)), repeatable, at(float64(100 + i%7))}, nil, nil, nil, 0))
	}
	if arrived != 50 {
		t.Fatalf("%d at once", arrived)
	}
	for i := range 10000 {
		count(b.Answered(at(1), ID(fmt.Sprint(i)), Succeeded, nil))
		count(b.FinalKept(at(1), ID(fmt.Sprint(i))))
	}
	if n := b.Counts(); arrived+n[Waiting] != 10000 {
		t.Errorf("%d went to the module, %d wait", arrived, n[Waiting])
	}
}
