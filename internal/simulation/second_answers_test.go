package simulation

import (
	"testing"
	"time"

	"birchstair/internal/emulator"
)

// secondAnswerScenario returns a scenario in which executors reject many attempts, and send a second answer to each third one up to 60 ms
// later, over ways of up to 18 ms. Second attempts beside each other are not allowed.
func secondAnswerScenario() Scenario {
	s := Base()
	s.Name, s.Length = "second-answers", Span(12*time.Second)
	s.Fleet.Executors, s.Fleet.QueueLimit, s.Fleet.Far, s.Fleet.MayHedge = 5, 0, Span(18*time.Millisecond), false
	s.Load.Utilization = 0.7
	for i := range s.Classes {
		s.Classes[i].Work = Span(60 * time.Millisecond)
	}
	s.Faults = []Fault{{Kind: emulator.SecondAnswers, At: Span(time.Second), For: Span(10 * time.Second), Size: 0.33}}
	return s
}

// TestSecondAnswers guards against second answers of executors that are taken for answers to the next attempts on their connections: a job
// that must not run twice then runs twice, and others have two attempts in flight.
func TestSecondAnswers(t *testing.T) {
	if runInOwnProcess(t) {
		return
	}
	plays := uint64(10)
	if underRace {
		plays = 2
	}
	for seed := uint64(1); seed <= plays; seed++ {
		r := playNetworked(t, secondAnswerScenario(), seed, Options{})
		for _, violation := range r.Violations {
			t.Errorf("seed %d: %v", seed, violation)
		}
		t.Logf("seed %d: %.3f earned, %d attempts, %d connections", seed, r.Earned, r.Attempts, r.Dials)
	}
}
