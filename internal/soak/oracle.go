package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is a promise that the oracle checks.
type Rule string

// The promises.
const (
	OneAnswer    Rule = "one answer, in time"
	RightAnswer  Rule = "no answer but a server's"
	OnceUnsafe   Rule = "unsafe work once"
	OnceKeyed    Rule = "keyed work repeated within its window alone"
	TrueRefusal  Rule = "refused work has not run"
	NotForNobody Rule = "nothing begun for a client that left"
	ToldWhatLeft Rule = "deadline told"
	NoneDrained  Rule = "nothing to a drained server"
	NoCrash      Rule = "no exit that was not asked for"
	ReadyInTime  Rule = "ready in time"
	WithinLimits Rule = "descriptors"
	StallEnds    Rule = "an error or close for who stops in a request"
	NoneCounted  Rule = "no broken promise counted by the node itself"
)

// Slack of the oracle, beside what the promises allow: the harness's own clock and scheduling, on a
// machine that is busy with several runs.
const (
	answerSlack  = 500 * time.Millisecond
	leaveSlack   = 100 * time.Millisecond
	toldSlack    = 150 * time.Millisecond
	harness      = 150 * time.Millisecond
	toldAtLatest = 6 * time.Second // of a change of the list, whatever arrived
	startWithin  = 10 * time.Second
	linkDelay    = 40 * time.Millisecond // of a slow link, each way
	pauseAfter   = 700 * time.Millisecond
	descriptors  = 256
)

// lateCount is how a node counts answers that went out late.
const lateCount = "answered_late"

// Violation is a promise that was broken.
type Violation struct {
	Rule Rule
	Text string
}

// Check holds a record against the promises.
func Check(r *Record) []Violation {
	c := checker{Record: r, byID: make(map[string][]Attempt), sent: make(map[string]*Request)}
	slices.SortFunc(r.Attempts, func(a, b Attempt) int { return a.Came.Compare(b.Came) })
	for _, a := range r.Attempts {
		c.byID[a.ID] = append(c.byID[a.ID], a)
	}
	for i := range r.Requests {
		c.sent[r.Requests[i].ID] = &r.Requests[i]
	}
	for i := range r.Requests {
		c.request(&r.Requests[i])
	}
	for _, a := range r.Attempts {
		c.attempt(a)
	}
	for _, p := range r.Processes {
		c.process(p)
	}
	for _, text := range r.Stalls {
		c.broken(StallEnds, "%s", text)
	}
	return c.found
}

type checker struct {
	*Record
	byID  map[string][]Attempt
	sent  map[string]*Request
	found []Violation
}

func (c *checker) broken(rule Rule, format string, args ...any) {
	c.found = append(c.found, Violation{rule, fmt.Sprintf(format, args...)})
}

// at is a moment as the run counts it.
func (c *checker) at(t time.Time) time.Duration { return t.Sub(c.Began).Round(time.Millisecond) }

func (c *checker) processOf(q *Request) *Process { return c.processAt(q.Node, q.Life) }

func (c *checker) processAt(node, life int) *Process {
	for _, p := range c.Processes {
		if p.Node == node && p.Life == life {
			return p
		}
	}
	return nil
}

// excused says whether a request's process was killed under it.
func excused(p *Process, q *Request) bool {
	return p == nil || !p.Killed.IsZero() && p.Killed.Before(q.Ended.Add(harness))
}

// shutUnread says whether a request came on a new connection in a crowd, and was seen at no server: such a
// connection may be shut unread.
func (c *checker) shutUnread(q *Request) bool {
	crowded := slices.ContainsFunc(c.Crowds, func(s Span) bool { return s.meets(q.Sent, q.Ended) })
	return crowded && !q.Reused && len(c.byID[q.ID]) == 0
}

// firstSending checks a request that was sent once more, as its first connection had ended with no answer:
// a node may close one between requests, but none of which it has sent a request on.
func (c *checker) firstSending(q *Request) {
	if !q.Again {
		return
	}
	first := c.processAt(q.FirstNode, q.FirstLife)
	if first == nil || !first.Killed.IsZero() {
		return
	}
	for _, a := range c.byID[q.ID] {
		if a.Came.Before(q.Began) { // a server may have it before the client has noticed that it is written
			c.broken(OneAnswer, "%s was sent on to server %d at %v by node %d, process %d, which then closed its client's connection with no answer", q.ID, a.Server, c.at(a.Came), q.FirstNode, q.FirstLife)
			return
		}
	}
}

// held is for how long a process was stopped while a request was out.
func held(p *Process, q *Request) (sum time.Duration) {
	for _, s := range p.Paused {
		if s.meets(q.Sent, q.Ended) {
			sum += s.To.Sub(s.From) + pauseAfter // and what has gathered is caught up with
		}
	}
	return sum
}

func (c *checker) request(q *Request) {
	p := c.processOf(q)
	due := q.Sent.Add(q.Deadline)
	switch q.End {
	case Answered:
		if excused(p, q) {
			break
		}
		if late := q.Ended.Sub(due) - answerSlack - harness - held(p, q); late > 0 {
			c.broken(OneAnswer, "%s was answered %d at %v, %v after its time was up", q.ID, q.Status, c.at(q.Ended), q.Ended.Sub(due))
		}
	case Cut:
		// One on a connection that was used before has been sent once more by then.
		if !excused(p, q) && !c.shutUnread(q) {
			c.broken(OneAnswer, "%s, sent at %v to node %d, got no answer: its connection (reused: %t) ended at %v", q.ID, c.at(q.Sent), q.Node, q.Reused, c.at(q.Ended))
		}
	case Silent:
		if !excused(p, q) {
			c.broken(OneAnswer, "%s, sent at %v to node %d, got no answer until %v", q.ID, c.at(q.Sent), q.Node, c.at(q.Ended))
		}
	}
	c.firstSending(q)
	if q.Wrong {
		c.broken(RightAnswer, "%s got an answer that no server made for it", q.ID)
	}
	c.effects(q)
}

// effects checks what became of a request at all servers.
func (c *checker) effects(q *Request) {
	class := c.Plan.Classes[q.Class]
	var ran []Attempt
	for _, a := range c.byID[q.ID] {
		if a.Ran && !c.killedFirst(q, a) {
			ran = append(ran, a)
		}
	}
	switch class.Effect {
	case Unsafe:
		if len(ran) > 1 {
			c.broken(OnceUnsafe, "%s ran %d times: at servers %d and %d, %v apart", q.ID, len(ran), ran[0].Server, ran[1].Server, ran[1].Came.Sub(ran[0].Came))
		}
		if len(ran) > 0 && q.End == Answered && (q.Status == 503 || q.Status == 429) {
			c.broken(TrueRefusal, "%s was refused with %d at %v and had run at server %d at %v", q.ID, q.Status, c.at(q.Ended), ran[0].Server, c.at(ran[0].Came))
		}
	case Keyed:
		if len(ran) > 1 {
			if apart := ran[len(ran)-1].Came.Sub(ran[0].Came); apart > class.Window+harness+c.delayed(ran[len(ran)-1].Came) {
				c.broken(OnceKeyed, "%s ran at server %d and again at %d %v later, with a window of %v", q.ID, ran[0].Server, ran[len(ran)-1].Server, apart, class.Window)
			}
		}
	}
}

// killedFirst says whether an attempt belongs to the first sending of a request, whose process was
// killed before its client sent it once more: who was killed has told nobody what ran.
func (c *checker) killedFirst(q *Request, a Attempt) bool {
	if !q.Again || !a.Came.Before(q.Sent) {
		return false
	}
	p := c.processAt(q.FirstNode, q.FirstLife)
	return p == nil || !p.Killed.IsZero()
}

// delayed is what links may have added to a moment.
func (c *checker) delayed(t time.Time) time.Duration {
	if slices.ContainsFunc(c.Slow, func(s Span) bool { return s.meets(t.Add(-linkDelay), t.Add(time.Millisecond)) }) {
		return 2 * linkDelay
	}
	return 0
}

// stopped says whether a process of a request was stopped just before a moment.
func stopped(p *Process, t time.Time) bool {
	return p != nil && slices.ContainsFunc(p.Paused, func(s Span) bool { return s.meets(t.Add(-pauseAfter), t) })
}

func (c *checker) attempt(a Attempt) {
	q := c.sent[a.ID]
	if q == nil {
		return // of a client that did not finish sending
	}
	p, slack := c.processOf(q), harness+c.delayed(a.Came)
	if q.End == LeftByClient && !stopped(p, a.Came) {
		if late := a.Came.Sub(q.Ended); late > leaveSlack+slack {
			c.broken(NotForNobody, "an attempt of %s came to server %d %v after its client had left", q.ID, a.Server, late)
		}
	}
	// A server that held back its reading, or a process that was stopped between, sees it later.
	if over := a.Told - q.Sent.Add(q.Deadline).Sub(a.Came); over > toldSlack+slack && !stopped(p, a.Came) {
		c.broken(ToldWhatLeft, "server %d was told %v for %s, whose client had %v left", a.Server, a.Told, q.ID, q.Sent.Add(q.Deadline).Sub(a.Came))
	}
	for _, s := range c.Drains[a.Server] {
		by := s.From.Add(c.Plan.Grace + slack)
		if slices.ContainsFunc(c.Lists, func(l Span) bool { return l.meets(s.From.Add(-time.Second), by) }) || c.anyStopped(s.From, by) {
			by = by.Add(toldAtLatest)
		}
		if a.Came.After(by) && a.Came.Before(s.To) {
			c.broken(NoneDrained, "%s came to server %d at %v, listed as draining at %v", a.ID, a.Server, c.at(a.Came), c.at(s.From))
		}
	}
}

// anyStopped says whether any process was stopped, or began, in a time.
func (c *checker) anyStopped(from, to time.Time) bool {
	for _, p := range c.Processes {
		if (Span{p.Span.From, p.Span.From.Add(time.Second)}).meets(from, to) || slices.ContainsFunc(p.Paused, func(s Span) bool { return s.meets(from, to) }) {
			return true
		}
		if slices.ContainsFunc(p.Starved, func(s Span) bool { return s.meets(from, to) }) {
			return true
		}
	}
	return false
}

func (c *checker) process(p *Process) {
	if p.Failure != "" {
		c.broken(NoCrash, "node %d, process %d: %s", p.Node, p.Life, p.Failure)
	}
	if p.Ready > startWithin {
		c.broken(ReadyInTime, "node %d, process %d took %v to serve", p.Node, p.Life, p.Ready)
	}
	if p.Descriptors > descriptors {
		c.broken(WithinLimits, "node %d, process %d held %d descriptors", p.Node, p.Life, p.Descriptors)
	}
	for _, text := range p.Broken {
		if len(p.Paused) > 0 && strings.Contains(text, lateCount) {
			continue // a process that was stopped answers late, and counts that, as it should
		}
		c.broken(NoneCounted, "node %d, process %d: %s", p.Node, p.Life, text)
	}
}

// Story is what was done and seen around a request, in order.
func Story(r *Record, id string) []string {
	type line struct {
		at   time.Time
		text string
	}
	var all []line
	for i := range r.Requests {
		if q := &r.Requests[i]; q.ID == id {
			all = append(all,
				line{q.Sent, fmt.Sprintf("client sent %s (class %s, %v) to node %d, process %d", q.ID, r.Plan.Classes[q.Class].Name, q.Deadline, q.Node, q.Life)},
				line{q.Ended, fmt.Sprintf("client: end %d, status %d", q.End, q.Status)})
		}
	}
	for _, a := range r.Attempts {
		if a.ID == id {
			all = append(all, line{a.Came, fmt.Sprintf("server %d: an attempt, told %v, ran %t, turned away %t", a.Server, a.Told, a.Ran, a.Safe)})
		}
	}
	slices.SortFunc(all, func(a, b line) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	text := make([]string, 0, len(all))
	for _, l := range all {
		text = append(text, fmt.Sprintf("%8v %s", l.at.Sub(r.Began).Round(time.Millisecond), l.text))
	}
	return text
}
