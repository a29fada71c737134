package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Rule is a promise of the node that the oracle checks.
type Rule string

// The rules.
const (
	OneAnswer              Rule = "one answer, in time"
	GenuineAnswer          Rule = "no answer but a server's"
	NotIdempotentOnce      Rule = "not idempotent: executed at most once"
	KeyedOncePerWindow     Rule = "idempotent with a key: repeated within the dedup window alone"
	TruthfulRejection      Rule = "rejected: not executed"
	NoAttemptForGoneClient Rule = "no attempt for a client that left"
	DeadlineForwarded      Rule = "the remaining deadline is forwarded"
	NothingToDrained       Rule = "no attempt at a drained server"
	NoCrash                Rule = "no unexpected exit"
	ReadyInTime            Rule = "ready in time"
	WithinDescriptorLimit  Rule = "within the descriptor limit"
	StalledClientEnded     Rule = "a client that stops within a request gets an error or a close"
	NoViolationCounted     Rule = "no invariant violation counted by the node"
)

// What the promises leave open, and slack for the harness's own clock and scheduling on a machine that is
// busy with several runs.
const (
	answerSlack     = 500 * time.Millisecond // of an answer, after its deadline
	abandonSlack    = 100 * time.Millisecond // from a client's leaving to its last attempt
	deadlineSlack   = 150 * time.Millisecond // of the deadline in an attempt
	harnessSlack    = 150 * time.Millisecond
	maxUpdateDelay  = 6 * time.Second // until a node knows a change of the list, whatever failed
	maxStartupTime  = 10 * time.Second
	linkDelay       = 40 * time.Millisecond  // of a slow link, each way
	pauseAftermath  = 700 * time.Millisecond // a paused process needs to work off what has queued up
	startupGrace    = time.Second            // a process that just started may not know the list yet
	descriptorLimit = 256
)

// lateAnswerCounter is how a node counts answers that went out late.
const lateAnswerCounter = "answered_late"

// Violation is a breach of a rule.
type Violation struct {
	Rule      Rule
	RequestID string // empty where no single request is concerned
	Text      string
}

// Check returns all violations in a record.
func Check(r *Record) []Violation {
	c := checker{Record: r, attemptsByID: make(map[string][]Attempt), requestsByID: make(map[string]*Request)}
	slices.SortFunc(r.Attempts, func(a, b Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	for _, a := range r.Attempts {
		c.attemptsByID[a.ID] = append(c.attemptsByID[a.ID], a)
	}
	for i := range r.Requests {
		c.requestsByID[r.Requests[i].ID] = &r.Requests[i]
	}
	for i := range r.Requests {
		c.checkRequest(&r.Requests[i])
	}
	for _, a := range r.Attempts {
		c.checkAttempt(a)
	}
	for _, p := range r.Processes {
		c.checkProcess(p)
	}
	for _, text := range r.Stalls {
		c.violated(StalledClientEnded, "", "%s", text)
	}
	return c.violations
}

// checker holds a record and what Check has found in it so far.
type checker struct {
	*Record
	attemptsByID map[string][]Attempt // each in order of arrival
	requestsByID map[string]*Request
	violations   []Violation
}

func (c *checker) violated(rule Rule, requestID, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, requestID, fmt.Sprintf(format, args...)})
}

// sinceStart is a time as an offset from the start of the run, for texts.
func (c *checker) sinceStart(t time.Time) time.Duration {
	return t.Sub(c.Began).Round(time.Millisecond)
}

// checkRequest checks what a client saw of its request, and what servers saw of it altogether.
func (c *checker) checkRequest(q *Request) {
	c.checkEnd(q)
	c.checkFirstSending(q)
	if q.WrongBody {
		c.violated(GenuineAnswer, q.ID, "%s got an answer that no server made for it", q.ID)
	}
	c.checkExecutions(q)
}

// checkEnd checks that a request was answered, and in time. Nothing is expected of a killed process.
func (c *checker) checkEnd(q *Request) {
	p := c.processOf(q)
	if killedDuring(p, q) {
		return
	}
	deadline := q.Sent.Add(q.Deadline)
	switch q.End {
	case Answered:
		if late := q.Ended.Sub(deadline) - answerSlack - harnessSlack - pausedTime(p, q); late > 0 {
			c.violated(OneAnswer, q.ID, "%s was answered with %d at %v, %v after its deadline", q.ID, q.Status, c.sinceStart(q.Ended), q.Ended.Sub(deadline))
		}
	case ConnectionLost:
		// A request on a reused connection has been sent again by now: this is its second loss.
		if !c.closedUnread(q) {
			c.violated(OneAnswer, q.ID, "%s, sent at %v to node %d, got no answer: its connection (reused: %t) ended at %v", q.ID, c.sinceStart(q.Sent), q.Node, q.Reused, c.sinceStart(q.Ended))
		}
	case TimedOut:
		c.violated(OneAnswer, q.ID, "%s, sent at %v to node %d, got no answer until %v", q.ID, c.sinceStart(q.Sent), q.Node, c.sinceStart(q.Ended))
	}
}

// checkFirstSending checks a request that was sent again because its first connection was lost: a node may
// close a connection between two requests, but not one whose request it has forwarded.
func (c *checker) checkFirstSending(q *Request) {
	if !q.Resent {
		return
	}
	first := c.process(q.FirstNode, q.FirstIncarnation)
	if first == nil || !first.Killed.IsZero() {
		return
	}
	for _, a := range c.attemptsByID[q.ID] {
		// Not before q.Sent: a server may have the second sending before its client notes that time.
		if a.ReceivedAt.Before(q.Began) {
			c.violated(OneAnswer, q.ID, "%s was forwarded to server %d at %v by node %d, process %d, which then closed its client's connection without an answer", q.ID, a.Server, c.sinceStart(a.ReceivedAt), q.FirstNode, q.FirstIncarnation)
			return
		}
	}
}

// checkExecutions checks how often servers executed a request.
func (c *checker) checkExecutions(q *Request) {
	var executed []Attempt
	for _, a := range c.attemptsByID[q.ID] {
		if a.Executed && !c.firstSendingKilled(q, a) {
			executed = append(executed, a)
		}
	}
	if len(executed) == 0 {
		return
	}
	class := c.Plan.Classes[q.Class]
	first, last := executed[0], executed[len(executed)-1]
	switch class.Idempotency {
	case NotIdempotent:
		if len(executed) > 1 {
			second := executed[1]
			c.violated(NotIdempotentOnce, q.ID, "%s was executed %d times: at servers %d and %d, %v apart", q.ID, len(executed), first.Server, second.Server, second.ReceivedAt.Sub(first.ReceivedAt))
		}
		if rejected(q) {
			c.violated(TruthfulRejection, q.ID, "%s was rejected with %d at %v and had been executed at server %d at %v", q.ID, q.Status, c.sinceStart(q.Ended), first.Server, c.sinceStart(first.ReceivedAt))
		}
	case IdempotentWithKey:
		apart := last.ReceivedAt.Sub(first.ReceivedAt)
		if len(executed) > 1 && apart > class.DedupWindow+harnessSlack+c.linkDelayAt(last.ReceivedAt) {
			c.violated(KeyedOncePerWindow, q.ID, "%s was executed at server %d and again at %d %v later, with a dedup window of %v", q.ID, first.Server, last.Server, apart, class.DedupWindow)
		}
	}
}

// checkAttempt checks an attempt against the request that it belongs to.
func (c *checker) checkAttempt(a Attempt) {
	q := c.requestsByID[a.ID]
	if q == nil {
		return // its client did not finish sending, and recorded nothing
	}
	slack := harnessSlack + c.linkDelayAt(a.ReceivedAt)
	// While its process is paused an attempt lies in the process or in the kernel, and arrives late.
	if !wasPaused(c.processOf(q), a.ReceivedAt) {
		c.checkAbandoned(q, a, slack)
		c.checkDeadline(q, a, slack)
	}
	c.checkDrained(a, slack)
}

// checkAbandoned checks that no attempt was sent after the client had left.
func (c *checker) checkAbandoned(q *Request, a Attempt, slack time.Duration) {
	if late := a.ReceivedAt.Sub(q.Ended); q.End == ClientLeft && late > abandonSlack+slack {
		c.violated(NoAttemptForGoneClient, q.ID, "an attempt of %s came to server %d %v after its client had left", q.ID, a.Server, late)
	}
}

// checkDeadline checks that an attempt gave its server no more time than its client had left.
func (c *checker) checkDeadline(q *Request, a Attempt, slack time.Duration) {
	left := q.Sent.Add(q.Deadline).Sub(a.ReceivedAt)
	if a.DeadlineLeft-left > deadlineSlack+slack {
		c.violated(DeadlineForwarded, q.ID, "server %d got a deadline of %v for %s, whose client had %v left", a.Server, a.DeadlineLeft, q.ID, left)
	}
}

// checkDrained checks that a server got no attempt once nodes had to know that it drains.
func (c *checker) checkDrained(a Attempt, slack time.Duration) {
	for _, drain := range c.Drains[a.Server] {
		by := drain.From.Add(c.Plan.DrainGrace + slack)
		if anyOverlaps(c.DiscoveryFaults, drain.From.Add(-time.Second), by) || c.anyUnableToPoll(drain.From, by) {
			by = by.Add(maxUpdateDelay)
		}
		if a.ReceivedAt.After(by) && a.ReceivedAt.Before(drain.To) {
			c.violated(NothingToDrained, a.ID, "%s came to server %d at %v, listed as draining at %v", a.ID, a.Server, c.sinceStart(a.ReceivedAt), c.sinceStart(drain.From))
		}
	}
}

// checkProcess checks how a process started, ended, and what it counted.
func (c *checker) checkProcess(p *Process) {
	if p.Failure != "" {
		c.violated(NoCrash, "", "node %d, process %d: %s", p.Node, p.Incarnation, p.Failure)
	}
	if p.StartupTime > maxStartupTime {
		c.violated(ReadyInTime, "", "node %d, process %d took %v to serve", p.Node, p.Incarnation, p.StartupTime)
	}
	if p.Descriptors > descriptorLimit {
		c.violated(WithinDescriptorLimit, "", "node %d, process %d had %d descriptors", p.Node, p.Incarnation, p.Descriptors)
	}
	for _, text := range p.Violations {
		if len(p.Paused) > 0 && strings.Contains(text, lateAnswerCounter) {
			continue // a paused process answers late, and is right to count it
		}
		c.violated(NoViolationCounted, "", "node %d, process %d: %s", p.Node, p.Incarnation, text)
	}
}

// rejected reports whether a client was told that its request was not executed.
func rejected(q *Request) bool {
	return q.End == Answered && (q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests)
}

// processOf is the process that a request was sent to, or nil if none is recorded.
func (c *checker) processOf(q *Request) *Process { return c.process(q.Node, q.Incarnation) }

func (c *checker) process(node, incarnation int) *Process {
	for _, p := range c.Processes {
		if p.Node == node && p.Incarnation == incarnation {
			return p
		}
	}
	return nil
}

// killedDuring reports whether a request's process was killed before the request ended.
func killedDuring(p *Process, q *Request) bool {
	return p == nil || !p.Killed.IsZero() && p.Killed.Before(q.Ended.Add(harnessSlack))
}

// closedUnread reports whether a request came on a new connection while idle ones used up the descriptors,
// and reached no server. A node may close such a connection without reading from it.
func (c *checker) closedUnread(q *Request) bool {
	return anyOverlaps(c.IdleFloods, q.Sent, q.Ended) && !q.Reused && len(c.attemptsByID[q.ID]) == 0
}

// firstSendingKilled reports whether an attempt belongs to the first sending of a request that was sent
// again because its process was killed. That process could tell nobody that the request was executed.
func (c *checker) firstSendingKilled(q *Request, a Attempt) bool {
	if !q.Resent || !a.ReceivedAt.Before(q.Sent) {
		return false
	}
	p := c.process(q.FirstNode, q.FirstIncarnation)
	return p == nil || !p.Killed.IsZero()
}

// pausedTime is how much later a process may answer a request because it was paused meanwhile.
func pausedTime(p *Process, q *Request) time.Duration {
	var sum time.Duration
	for _, pause := range p.Paused {
		if pause.overlaps(q.Sent, q.Ended) {
			sum += pause.To.Sub(pause.From) + pauseAftermath
		}
	}
	return sum
}

// wasPaused reports whether a process was paused at or just before a time.
func wasPaused(p *Process, t time.Time) bool {
	return p != nil && anyOverlaps(p.Paused, t.Add(-pauseAftermath), t)
}

// linkDelayAt is how much slow links may have delayed what came at a time.
func (c *checker) linkDelayAt(t time.Time) time.Duration {
	if anyOverlaps(c.SlowLinks, t.Add(-linkDelay), t.Add(time.Millisecond)) {
		return 2 * linkDelay
	}
	return 0
}

// anyUnableToPoll reports whether any process was paused, starting or without a free descriptor in a time:
// it may have learned of a change of the list later than others.
func (c *checker) anyUnableToPoll(from, to time.Time) bool {
	return slices.ContainsFunc(c.Processes, func(p *Process) bool {
		starting := Interval{p.Lifetime.From, p.Lifetime.From.Add(startupGrace)}
		return starting.overlaps(from, to) || anyOverlaps(p.Paused, from, to) || anyOverlaps(p.Starved, from, to)
	})
}

func anyOverlaps(intervals []Interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i Interval) bool { return i.overlaps(from, to) })
}
