package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jasperpin/decide"
)

// words records a Forwarder's effects, one line each.
type words struct{ said []string }

func (w *words) Tell(n int, m Message) {
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
	w.said = append(w.said, text)
}
func (w *words) Go(id decide.RequestID, s decide.ServerID) {
	w.said = append(w.said, fmt.Sprintf("go %d to %d", id, s))
}
func (w *words) SetTimer(decide.RequestID, time.Duration) {}

// expect takes what has been said since the last call.
func (w *words) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(w.said, want) {
		t.Fatalf("said %q, want %q", w.said, want)
	}
	w.said = nil
}

// two is a forwarder that asks the first of two planners for all that comes.
func two(t *testing.T) (*Forwarder, *words) {
	w := &words{}
	set := Defaults
	set.Step = 1
	f := NewForwarder(set, 2, 1, w)
	f.Up(0, 0)
	f.Up(0, 1)
	w.expect(t, "0: synced", "1: synced")
	return f, w
}

const ms = time.Millisecond

// TestPlanTaken tells the planner that planned nothing that it knows, and the other
// what it cannot.
func TestPlanTaken(t *testing.T) {
	f, w := two(t)
	if !f.Ask(0, 1, Question{Left: time.Second}) {
		t.Fatal("nobody is asked")
	}
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 8})
	f.Late(50*ms, 1)
	w.expect(t, "0: ask 1", "go 1 to 7")
	f.Sent(50*ms, 1, 0, 7)
	f.Ended(1, 0, decide.ConnectionReset)
	f.Sent(60*ms, 1, 1, 9)
	f.Ended(1, 1, decide.OK)
	f.Ended(1, 1, decide.OK)
	f.Closed(1)
	f.Closed(1)
	w.expect(t, "1: sent 1.0 to 7", "0: ended 1.0 5", "1: ended 1.0 5",
		"0: sent 1.1 to 9", "1: sent 1.1 to 9", "0: ended 1.1 0", "1: ended 1.1 0")
	if f.Open() != 0 {
		t.Errorf("%d are open", f.Open())
	}
}

// TestPlanNotTaken withdraws what was planned and is not carried out.
func TestPlanNotTaken(t *testing.T) {
	f, w := two(t)
	f.Ask(0, 1, Question{Left: time.Second}) // sent elsewhere
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	f.Sent(ms, 1, 0, 8)
	w.expect(t, "0: ask 1", "go 1 to 7", "0: ended 1.0 7", "0: sent 1.0 to 8", "1: sent 1.0 to 8")
	f.Ask(0, 2, Question{Left: time.Second}) // sent nowhere
	f.Answer(ms, 0, Message{Kind: Plan, ID: 2, Server: 7})
	f.Closed(2)
	w.expect(t, "0: ask 2", "go 2 to 7", "0: ended 2.0 7")
	f.Ask(0, 3, Question{Left: time.Second}) // its client leaves meanwhile
	f.Closed(3)
	f.Answer(ms, 0, Message{Kind: Plan, ID: 3, Server: 7})
	w.expect(t, "0: ask 3", "0: ended 3.0 7")
	f.Ask(0, 4, Question{Left: time.Second}) // no room
	f.Answer(ms, 0, Message{Kind: Back, ID: 4})
	w.expect(t, "0: ask 4", "go 4 to 0")
}

// TestLatePlanner asks the next where one is late or broken, and itself at last.
// What the late one says then changes nothing.
func TestLatePlanner(t *testing.T) {
	f, w := two(t)
	f.Ask(0, 1, Question{Left: time.Second})
	f.Late(20*ms, 1)
	f.Answer(21*ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	w.expect(t, "0: ask 1", "0: ended 1.0 7", "1: ask 1")
	f.Broke(22*ms, 1)
	f.Answer(23*ms, 1, Message{Kind: Plan, ID: 1, Server: 7})
	w.expect(t, "go 1 to 0")
	f.Sent(23*ms, 1, 0, 5)
	w.expect(t, "0: sent 1.0 to 5")
	// One that comes back is told of it first.
	f.Up(24*ms, 1)
	w.expect(t, "1: sent 1.0 to 5", "1: synced")
	// There is too little time to wait for anybody.
	if f.Ask(30*ms, 2, Question{Left: ms}) {
		t.Error("a request is to wait for longer than its client does")
	}
}

// TestLateIsOnePlannersOwn has the time set for a planner that broke come while the
// next is asked: that one still has its own.
func TestLateIsOnePlannersOwn(t *testing.T) {
	f, w := two(t)
	f.Ask(0, 1, Question{Left: time.Second})
	f.Broke(10*ms, 0)
	w.expect(t, "0: ask 1", "1: ask 1")
	f.Late(20*ms, 1) // the first's
	w.expect(t)
	f.Late(30*ms, 1)
	w.expect(t, "1: ended 1.0 7", "go 1 to 0")
}

// TestMove lets go what waits for a planner that is no longer named.
func TestMove(t *testing.T) {
	f, w := two(t)
	f.Ask(0, 1, Question{Left: time.Second})
	f.Move(1)
	w.expect(t, "0: ask 1", "go 1 to 0")
	f.Answer(ms, 0, Message{Kind: Plan, ID: 1, Server: 7})
	f.Sent(ms, 1, 0, 5)
	w.expect(t)
	f.Up(ms, 0)
	w.expect(t, "0: sent 1.0 to 5", "0: synced")
}
