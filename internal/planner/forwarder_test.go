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
		t.Fatalf("the forwarder called the effects %q, want %q", l.lines, want)
	}
	l.lines = nil
}

// newTestForwarder returns a Forwarder that asks the first of two planners for all requests.
func newTestForwarder(t *testing.T) (*Forwarder, *effectLog) {
	l := &effectLog{}
	settings := DefaultChooserSettings
	settings.RampStart = 1
	f := NewForwarder(settings, 2, 1, l)
	f.PlannerConnected(0, 0)
	f.PlannerConnected(0, 1)
	l.expect(t, "0: synced", "1: synced")
	return f, l
}

const millisecond = time.Millisecond

// TestPlanIsCarriedOut sends an attempt as planned: the planner that planned it gets no report that it
// was sent, and the other planner does.
func TestPlanIsCarriedOut(t *testing.T) {
	forwarder, effects := newTestForwarder(t)
	if !forwarder.Place(0, 1, RequestInfo{Remaining: time.Second}) {
		t.Fatal("Place returned false: the request waits for no planner, want a wait for planner 0")
	}
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindPlacement, ID: 1, Server: 8})
	forwarder.TimerFired(50*millisecond, 1)
	effects.expect(t, "0: ask 1", "go 1 to 7")
	forwarder.AttemptSent(50*millisecond, 1, 0, 7)
	forwarder.AttemptEnded(1, 0, decide.ConnectionReset)
	forwarder.AttemptSent(60*millisecond, 1, 1, 9)
	forwarder.AttemptEnded(1, 1, decide.OK)
	forwarder.AttemptEnded(1, 1, decide.OK)
	forwarder.RequestClosed(1)
	forwarder.RequestClosed(1)
	effects.expect(t, "1: sent 1.0 to 7", "0: ended 1.0 5", "1: ended 1.0 5",
		"0: sent 1.1 to 9", "1: sent 1.1 to 9", "0: ended 1.1 0", "1: ended 1.1 0")
	if forwarder.OpenRequests() != 0 {
		t.Errorf("%d requests are open, want 0", forwarder.OpenRequests())
	}
}

// TestPlanIsWithdrawn does not send attempts as planned: the planner gets a report that the planned
// attempt is abandoned.
func TestPlanIsWithdrawn(t *testing.T) {
	forwarder, effects := newTestForwarder(t)
	forwarder.Place(0, 1, RequestInfo{Remaining: time.Second}) // its attempt is sent to another server
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	forwarder.AttemptSent(millisecond, 1, 0, 8)
	effects.expect(t, "0: ask 1", "go 1 to 7", "0: ended 1.0 7", "0: sent 1.0 to 8", "1: sent 1.0 to 8")
	forwarder.Place(0, 2, RequestInfo{Remaining: time.Second}) // its attempt is not sent
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindPlacement, ID: 2, Server: 7})
	forwarder.RequestClosed(2)
	effects.expect(t, "0: ask 2", "go 2 to 7", "0: ended 2.0 7")
	forwarder.Place(0, 3, RequestInfo{Remaining: time.Second}) // its client disconnects before the answer
	forwarder.RequestClosed(3)
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindPlacement, ID: 3, Server: 7})
	effects.expect(t, "0: ask 3", "0: ended 3.0 7")
	forwarder.Place(0, 4, RequestInfo{Remaining: time.Second}) // the planner declines
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindDeclined, ID: 4})
	effects.expect(t, "0: ask 4", "go 4 to 0")
}

// TestLateAnswer lets the first planner answer late and the second lose its connection: the second planner
// is asked after the first, and then the request proceeds. Late answers are ignored.
func TestLateAnswer(t *testing.T) {
	forwarder, effects := newTestForwarder(t)
	forwarder.Place(0, 1, RequestInfo{Remaining: time.Second})
	forwarder.TimerFired(20*millisecond, 1)
	forwarder.AnswerReceived(21*millisecond, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	effects.expect(t, "0: ask 1", "0: ended 1.0 7", "1: ask 1")
	forwarder.PlannerDisconnected(22*millisecond, 1)
	forwarder.AnswerReceived(23*millisecond, 1, Message{Kind: KindPlacement, ID: 1, Server: 7})
	effects.expect(t, "go 1 to 0")
	forwarder.AttemptSent(23*millisecond, 1, 0, 5)
	effects.expect(t, "0: sent 1.0 to 5")
	// A planner that reconnects first gets a report of all attempts in flight.
	forwarder.PlannerConnected(24*millisecond, 1)
	effects.expect(t, "1: sent 1.0 to 5", "1: synced")
	// The remaining time is too short to wait for an answer.
	if forwarder.Place(30*millisecond, 2, RequestInfo{Remaining: millisecond}) {
		t.Error("a request waits for a planner beyond its deadline")
	}
}

// TestTimerOfPreviousPlanner lets the timer of a planner whose connection was lost expire while the
// request waits for the next planner: the wait for the next planner is not cut short.
func TestTimerOfPreviousPlanner(t *testing.T) {
	forwarder, effects := newTestForwarder(t)
	forwarder.Place(0, 1, RequestInfo{Remaining: time.Second})
	forwarder.PlannerDisconnected(10*millisecond, 0)
	effects.expect(t, "0: ask 1", "1: ask 1")
	forwarder.TimerFired(20*millisecond, 1) // the timer of the first planner
	effects.expect(t)
	forwarder.TimerFired(30*millisecond, 1)
	effects.expect(t, "1: ended 1.0 7", "go 1 to 0")
}

// TestSetPlanners replaces the planners while a request waits for one of them: the request
// proceeds.
func TestSetPlanners(t *testing.T) {
	forwarder, effects := newTestForwarder(t)
	forwarder.Place(0, 1, RequestInfo{Remaining: time.Second})
	forwarder.SetPlanners(1)
	effects.expect(t, "0: ask 1", "go 1 to 0")
	forwarder.AnswerReceived(millisecond, 0, Message{Kind: KindPlacement, ID: 1, Server: 7})
	forwarder.AttemptSent(millisecond, 1, 0, 5)
	effects.expect(t)
	forwarder.PlannerConnected(millisecond, 0)
	effects.expect(t, "0: sent 1.0 to 5", "0: synced")
}
