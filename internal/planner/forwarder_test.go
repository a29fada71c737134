package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jasperpin/decide"
)

// effectLog is a ForwarderEffects that records a line for each call.
type effectLog struct{ lines []string }

func (l *effectLog) Tell(n int, m Message) {
	text := fmt.Sprintf("%d: ", n)
	switch m.Kind {
	case Ask:
		text += fmt.Sprintf("ask %d", m.ID)
	case Sent:
		text += fmt.Sprintf("sent %d.%d to %d", m.ID, m.Attempt, m.Server)
	case Ended:
		text += fmt.Sprintf("ended %d.%d %d", m.ID, m.Attempt, m.Result)
	case Synced:
		text += "synced"
	}
	l.lines = append(l.lines, text)
}
func (l *effectLog) Go(id decide.RequestID, s decide.ServerID) {
	l.lines = append(l.lines, fmt.Sprintf("go %d to %d", id, s))
}
func (l *effectLog) SetTimer(decide.RequestID, time.Duration) {}

// expect checks the lines since the last call.
func (l *effectLog) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(l.lines, want) {
		t.Fatalf("effects %q, want %q", l.lines, want)
	}
	l.lines = nil
}

// twoPlanners returns a Forwarder that asks the first of two planners for all requests.
func twoPlanners(t *testing.T) (*Forwarder, *effectLog) {
	l := &effectLog{}
	settings := Defaults
	settings.RampStart = 1
	f := NewForwarder(settings, 2, 1, l)
	f.Up(0, 0)
	f.Up(0, 1)
	l.expect(t, "0: synced", "1: synced")
	return f, l
}

const ms = time.Millisecond

// TestPlanIsCarriedOut sends an attempt as it was planned: the planner that planned it gets no
// report of it, and the other planner does.
func TestPlanIsCarriedOut(t *testing.T) {
	f, l := twoPlanners(t)
	if !f.Ask(0, 1, Question{Left: time.Second}) {
		t.Fatal("no planner is asked")
	}
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 8})
	f.Late(50*ms, 1)
	l.expect(t, "0: ask 1", "go 1 to 7")
	f.Sent(50*ms, 1, 0, 7)
	f.Ended(1, 0, decide.ConnectionReset)
	f.Sent(60*ms, 1, 1, 9)
	f.Ended(1, 1, decide.OK)
	f.Ended(1, 1, decide.OK)
	f.Closed(1)
	f.Closed(1)
	l.expect(t, "1: sent 1.0 to 7", "0: ended 1.0 5", "1: ended 1.0 5",
		"0: sent 1.1 to 9", "1: sent 1.1 to 9", "0: ended 1.1 0", "1: ended 1.1 0")
	if f.Open() != 0 {
		t.Errorf("%d are open", f.Open())
	}
}

// TestPlanIsWithdrawn does not carry out what was planned: the planner gets a report that its plan
// is abandoned.
func TestPlanIsWithdrawn(t *testing.T) {
	f, l := twoPlanners(t)
	f.Ask(0, 1, Question{Left: time.Second}) // sent elsewhere
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	f.Sent(ms, 1, 0, 8)
	l.expect(t, "0: ask 1", "go 1 to 7", "0: ended 1.0 7", "0: sent 1.0 to 8", "1: sent 1.0 to 8")
	f.Ask(0, 2, Question{Left: time.Second}) // sent nowhere
	f.Answer(ms, 0, Message{Kind: Plan, ID: 2, Server: 7})
	f.Closed(2)
	l.expect(t, "0: ask 2", "go 2 to 7", "0: ended 2.0 7")
	f.Ask(0, 3, Question{Left: time.Second}) // its client leaves meanwhile
	f.Closed(3)
	f.Answer(ms, 0, Message{Kind: Plan, ID: 3, Server: 7})
	l.expect(t, "0: ask 3", "0: ended 3.0 7")
	f.Ask(0, 4, Question{Left: time.Second}) // no room
	f.Answer(ms, 0, Message{Kind: Back, ID: 4})
	l.expect(t, "0: ask 4", "go 4 to 0")
}

// TestLateAnswer has a planner answer late and the next lose its connection: the next planner is
// asked, and at last none. Late answers are ignored.
func TestLateAnswer(t *testing.T) {
	f, l := twoPlanners(t)
	f.Ask(0, 1, Question{Left: time.Second})
	f.Late(20*ms, 1)
	f.Answer(21*ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	l.expect(t, "0: ask 1", "0: ended 1.0 7", "1: ask 1")
	f.Broke(22*ms, 1)
	f.Answer(23*ms, 1, Message{Kind: Plan, ID: 1, Server: 7})
	l.expect(t, "go 1 to 0")
	f.Sent(23*ms, 1, 0, 5)
	l.expect(t, "0: sent 1.0 to 5")
	// A planner that connects again first gets all attempts in flight.
	f.Up(24*ms, 1)
	l.expect(t, "1: sent 1.0 to 5", "1: synced")
	// There is too little time to wait for an answer.
	if f.Ask(30*ms, 2, Question{Left: ms}) {
		t.Error("a request is to wait for longer than its client does")
	}
}

// TestTimerOfEarlierQuestion has the timer of a planner whose connection was lost fire while the
// next planner is asked: that one still has its own time.
func TestTimerOfEarlierQuestion(t *testing.T) {
	f, l := twoPlanners(t)
	f.Ask(0, 1, Question{Left: time.Second})
	f.Broke(10*ms, 0)
	l.expect(t, "0: ask 1", "1: ask 1")
	f.Late(20*ms, 1) // the first's
	l.expect(t)
	f.Late(30*ms, 1)
	l.expect(t, "1: ended 1.0 7", "go 1 to 0")
}

// TestSetPlanners replaces the planners while a request waits for one of them: the request
// proceeds.
func TestSetPlanners(t *testing.T) {
	f, l := twoPlanners(t)
	f.Ask(0, 1, Question{Left: time.Second})
	f.SetPlanners(1)
	l.expect(t, "0: ask 1", "go 1 to 0")
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	f.Sent(ms, 1, 0, 5)
	l.expect(t)
	f.Up(ms, 0)
	l.expect(t, "0: sent 1.0 to 5", "0: synced")
}
