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

func (l *effectLog) Send(n int, m Message) {
	text := fmt.Sprintf("%d: ", n)
	switch m.Kind {
	case KindPlace:
		text += fmt.Sprintf("ask %d", m.ID)
	case KindAttemptSent:
		text += fmt.Sprintf("sent %d.%d to %d", m.ID, m.Attempt, m.Server)
	case KindAttemptEnded:
		text += fmt.Sprintf("ended %d.%d %d", m.ID, m.Attempt, m.Result)
	case KindSynced:
		text += "synced"
	}
	l.lines = append(l.lines, text)
}
func (l *effectLog) Proceed(id decide.RequestID, s decide.ServerID) {
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
	settings := DefaultChooserSettings
	settings.RampStart = 1
	f := NewForwarder(settings, 2, 1, l)
	f.PlannerConnected(0, 0)
	f.PlannerConnected(0, 1)
	l.expect(t, "0: synced", "1: synced")
	return f, l
}

const ms = time.Millisecond

// TestPlanIsCarriedOut sends an attempt as it was planned: the planner that planned it gets no
// report of it, and the other planner does.
func TestPlanIsCarriedOut(t *testing.T) {
	f, l := twoPlanners(t)
	if !f.Place(0, 1, RequestInfo{TimeLeft: time.Second}) {
		t.Fatal("no planner is asked")
	}
	f.AnswerReceived(ms, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	f.AnswerReceived(ms, 0, Message{Kind: KindPlacement, ID: 1, Server: 8})
	f.TimerFired(50*ms, 1)
	l.expect(t, "0: ask 1", "go 1 to 7")
	f.AttemptSent(50*ms, 1, 0, 7)
	f.AttemptEnded(1, 0, decide.ConnectionReset)
	f.AttemptSent(60*ms, 1, 1, 9)
	f.AttemptEnded(1, 1, decide.OK)
	f.AttemptEnded(1, 1, decide.OK)
	f.RequestClosed(1)
	f.RequestClosed(1)
	l.expect(t, "1: sent 1.0 to 7", "0: ended 1.0 5", "1: ended 1.0 5",
		"0: sent 1.1 to 9", "1: sent 1.1 to 9", "0: ended 1.1 0", "1: ended 1.1 0")
	if f.OpenRequests() != 0 {
		t.Errorf("%d are open", f.OpenRequests())
	}
}

// TestPlanIsWithdrawn does not carry out what was planned: the planner gets a report that its plan
// is abandoned.
func TestPlanIsWithdrawn(t *testing.T) {
	f, l := twoPlanners(t)
	f.Place(0, 1, RequestInfo{TimeLeft: time.Second}) // sent elsewhere
	f.AnswerReceived(ms, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	f.AttemptSent(ms, 1, 0, 8)
	l.expect(t, "0: ask 1", "go 1 to 7", "0: ended 1.0 7", "0: sent 1.0 to 8", "1: sent 1.0 to 8")
	f.Place(0, 2, RequestInfo{TimeLeft: time.Second}) // sent nowhere
	f.AnswerReceived(ms, 0, Message{Kind: KindPlacement, ID: 2, Server: 7})
	f.RequestClosed(2)
	l.expect(t, "0: ask 2", "go 2 to 7", "0: ended 2.0 7")
	f.Place(0, 3, RequestInfo{TimeLeft: time.Second}) // its client leaves meanwhile
	f.RequestClosed(3)
	f.AnswerReceived(ms, 0, Message{Kind: KindPlacement, ID: 3, Server: 7})
	l.expect(t, "0: ask 3", "0: ended 3.0 7")
	f.Place(0, 4, RequestInfo{TimeLeft: time.Second}) // no room
	f.AnswerReceived(ms, 0, Message{Kind: KindDeclined, ID: 4})
	l.expect(t, "0: ask 4", "go 4 to 0")
}

// TestLateAnswer has a planner answer late and the next lose its connection: the next planner is
// asked, and at last none. Late answers are ignored.
func TestLateAnswer(t *testing.T) {
	f, l := twoPlanners(t)
	f.Place(0, 1, RequestInfo{TimeLeft: time.Second})
	f.TimerFired(20*ms, 1)
	f.AnswerReceived(21*ms, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	l.expect(t, "0: ask 1", "0: ended 1.0 7", "1: ask 1")
	f.PlannerDisconnected(22*ms, 1)
	f.AnswerReceived(23*ms, 1, Message{Kind: KindPlacement, ID: 1, Server: 7})
	l.expect(t, "go 1 to 0")
	f.AttemptSent(23*ms, 1, 0, 5)
	l.expect(t, "0: sent 1.0 to 5")
	// A planner that connects again first gets all attempts in flight.
	f.PlannerConnected(24*ms, 1)
	l.expect(t, "1: sent 1.0 to 5", "1: synced")
	// There is too little time to wait for an answer.
	if f.Place(30*ms, 2, RequestInfo{TimeLeft: ms}) {
		t.Error("a request is to wait for longer than its client does")
	}
}

// TestTimerOfEarlierQuestion has the timer of a planner whose connection was lost fire while the
// next planner is asked: that one still has its own time.
func TestTimerOfEarlierQuestion(t *testing.T) {
	f, l := twoPlanners(t)
	f.Place(0, 1, RequestInfo{TimeLeft: time.Second})
	f.PlannerDisconnected(10*ms, 0)
	l.expect(t, "0: ask 1", "1: ask 1")
	f.TimerFired(20*ms, 1) // the first's
	l.expect(t)
	f.TimerFired(30*ms, 1)
	l.expect(t, "1: ended 1.0 7", "go 1 to 0")
}

// TestSetPlanners replaces the planners while a request waits for one of them: the request
// proceeds.
func TestSetPlanners(t *testing.T) {
	f, l := twoPlanners(t)
	f.Place(0, 1, RequestInfo{TimeLeft: time.Second})
	f.SetPlanners(1)
	l.expect(t, "0: ask 1", "go 1 to 0")
	f.AnswerReceived(ms, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	f.AttemptSent(ms, 1, 0, 5)
	l.expect(t)
	f.PlannerConnected(ms, 0)
	l.expect(t, "0: sent 1.0 to 5", "0: synced")
}
