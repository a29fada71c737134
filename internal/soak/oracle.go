package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/emulator"
)

// Rule is a guarantee of the node that the oracle checks.
type Rule string

// The rules.
const (
	OneAnswer                Rule = "one answer before the deadline"
	GenuineAnswer            Rule = "only answers that a server sent"
	NotIdempotentOnce        Rule = "not idempotent: executed at most once"
	KeyedOncePerWindow       Rule = "idempotent with a key: repeated only within the dedup window"
	TruthfulRejection        Rule = "rejected: not executed"
	NoAttemptAfterDisconnect Rule = "no attempt after the client disconnected"
	DeadlineForwarded        Rule = "the remaining time is forwarded"
	NoAttemptAfterDrain      Rule = "no attempt to a drained server"
	NoCrash                  Rule = "no unexpected exit"
	ReadyInTime              Rule = "ready in time"
	WithinDescriptorLimit    Rule = "within the descriptor limit"
	StalledClientEnded       Rule = "the connection of a client that stops within a request is closed"
	NoViolationCounted       Rule = "no invariant violation counted by the node"
	WithinMemoryLimit        Rule = "within the memory limit"
	LongAnswerWhole          Rule = "a long answer that its server is writing is served whole"
)

// Tolerances of the guarantees, and slack for the harness's own clock and scheduling on a machine that is busy with
// several runs.
const (
	answerSlack     = 500 * time.Millisecond // tolerated lateness of an answer after its deadline
	disconnectSlack = 100 * time.Millisecond // tolerated time from a client's disconnect to the last attempt of its request
	deadlineSlack   = 150 * time.Millisecond // tolerated excess of the remaining time in an attempt
	harnessSlack    = 150 * time.Millisecond
	maxUpdateDelay  = 6 * time.Second // time until a node has received a change of the endpoint list, whatever failed
	maxStartupTime  = 10 * time.Second
	linkDelay       = 40 * time.Millisecond  // delay of a slow link, in each direction
	pauseRecovery   = 700 * time.Millisecond // time until a process that was paused has processed its backlog
	startupGrace    = time.Second            // time until a new process has received the endpoint list
	// headSlack is how long before the latency objective a server must have begun its answer for the node to forward it.
	headSlack = 300 * time.Millisecond
	// minDeadlineWithoutLength is the least deadline with which a long answer without a length is known to be long before
	// the request fails: servers write the forms in a second at most.
	minDeadlineWithoutLength = 900 * time.Millisecond
	// objectiveShare is the latency objective of a class as a share of its deadline.
	objectiveShare = 0.75
)

// lateAnswerCounter is the node's counter of answers that were sent late.
const lateAnswerCounter = "answered_late"

// Violation is a breach of a rule.
type Violation struct {
	Rule      Rule
	RequestID string // empty if the violation concerns no single request
	Text      string
}

// Check returns all violations in a record.
func Check(r *Record) []Violation {
	check := checker{Record: r, attemptsByID: make(map[string][]Attempt), requestsByID: make(map[string]*Request)}
	slices.SortFunc(r.Attempts, func(a, b Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	for _, a := range r.Attempts {
		check.attemptsByID[a.ID] = append(check.attemptsByID[a.ID], a)
	}
	for i := range r.Requests {
		check.requestsByID[r.Requests[i].ID] = &r.Requests[i]
	}
	for i := range r.Requests {
		check.checkRequest(&r.Requests[i])
	}
	for _, a := range r.Attempts {
		check.checkAttempt(a)
	}
	for _, p := range r.Processes {
		check.checkProcess(p)
	}
	for _, text := range r.Stalls {
		check.violated(StalledClientEnded, "", "%s", text)
	}
	return check.violations
}

// checker contains a record and the violations that Check has found in it so far.
type checker struct {
	*Record
	attemptsByID map[string][]Attempt // attempts by request id, each list in order of arrival
	requestsByID map[string]*Request
	violations   []Violation
}

func (c *checker) violated(rule Rule, requestID, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, requestID, fmt.Sprintf(format, args...)})
}

// sinceStart returns a time as an offset from the start of the run, for messages.
func (c *checker) sinceStart(t time.Time) time.Duration {
	return t.Sub(c.Began).Round(time.Millisecond)
}

// checkRequest checks a client's record of its request, and all attempts of the request.
func (c *checker) checkRequest(request *Request) {
	c.checkEnd(request)
	c.checkFirstSending(request)
	if request.WrongBody {
		c.violated(GenuineAnswer, request.ID, "%s got an answer that no server sent for it", request.ID)
	}
	c.checkLongAnswer(request)
	c.checkExecutions(request)
}

// checkLongAnswer checks that a long answer whose server began it in time was served whole, unless a server, a link, a
// crowd or the end of the process may have prevented that.
func (c *checker) checkLongAnswer(request *Request) {
	if !isLong(c.Plan.formOf(request.ID)) || request.End == ClientDisconnected || request.End == Answered && request.Status == http.StatusOK {
		return
	}
	p := c.processOf(request)
	if p == nil || !p.Killed.IsZero() || !p.TerminatedAt.IsZero() && p.TerminatedAt.Before(request.Ended) || len(p.Paused) > 0 || request.Resent {
		return
	}
	if anyOverlaps(c.ServerFaults, request.Sent, request.Ended) || anyOverlaps(c.Crowds, request.Sent, request.Ended) {
		return
	}
	if form := c.Plan.formOf(request.ID); form.Framing != emulator.FramedByLength && request.Deadline < minDeadlineWithoutLength {
		return
	}
	latest := request.Sent.Add(time.Duration(objectiveShare*float64(request.Deadline)) - headSlack)
	for _, a := range c.attemptsByID[request.ID] {
		if !a.HeadAt.IsZero() && a.HeadAt.Before(latest) {
			c.violated(LongAnswerWhole, request.ID, "%s (%v), whose answer server %d began at %v, ended with end %d and status %d at %v",
				request.ID, c.Plan.formOf(request.ID), a.Server, c.sinceStart(a.HeadAt), request.End, request.Status, c.sinceStart(request.Ended))
			return
		}
	}
}

// timedAt returns the time of an answer: that of its first byte if it is, or may be, long, and otherwise that of its last
// byte.
func (c *checker) timedAt(request *Request) time.Time {
	if request.Status == http.StatusOK && mayBeLong(c.Plan.formOf(request.ID)) {
		return request.FirstByte
	}
	return request.Ended
}

// checkEnd checks that a request was answered in time. A request to a process that was killed may end without an
// answer.
func (c *checker) checkEnd(request *Request) {
	p := c.processOf(request)
	if killedDuring(p, request) {
		return
	}
	deadline := request.Sent.Add(request.Deadline)
	switch request.End {
	case Answered, CutOff:
		if late := c.timedAt(request).Sub(deadline) - answerSlack - harnessSlack - pausedTime(p, request); late > 0 {
			c.violated(OneAnswer, request.ID, "%s was answered with %d at %v, %v after its deadline", request.ID, request.Status, c.sinceStart(c.timedAt(request)), c.timedAt(request).Sub(deadline))
		}
	case ConnectionLost:
		// A request on a reused connection has been sent again already: this is its second lost connection.
		if !c.closedUnread(request) {
			c.violated(OneAnswer, request.ID, "%s, sent at %v to node %d, got no answer: its connection (reused: %t) ended at %v", request.ID, c.sinceStart(request.Sent), request.Node, request.Reused, c.sinceStart(request.Ended))
		}
	case TimedOut:
		c.violated(OneAnswer, request.ID, "%s, sent at %v to node %d, got no answer until %v", request.ID, c.sinceStart(request.Sent), request.Node, c.sinceStart(request.Ended))
	}
}

// checkFirstSending checks a request that was sent again because its first connection was lost: a node may close a
// connection between two requests, but not after it has forwarded a request of that connection.
func (c *checker) checkFirstSending(request *Request) {
	if !request.Resent {
		return
	}
	first := c.process(request.FirstNode, request.FirstIncarnation)
	if first == nil || !first.Killed.IsZero() {
		return
	}
	for _, a := range c.attemptsByID[request.ID] {
		// Compared with Began, not with Sent: a server may receive the second sending before its client records
		// Sent.
		if a.ReceivedAt.Before(request.Began) {
			c.violated(OneAnswer, request.ID, "%s was forwarded to server %d at %v by node %d, process %d, which then closed its client's connection without an answer", request.ID, a.Server, c.sinceStart(a.ReceivedAt), request.FirstNode, request.FirstIncarnation)
			return
		}
	}
}

// checkExecutions checks how often servers executed a request.
func (c *checker) checkExecutions(request *Request) {
	var executed []Attempt
	for _, a := range c.attemptsByID[request.ID] {
		if a.Executed && !c.firstSendingKilled(request, a) {
			executed = append(executed, a)
		}
	}
	if len(executed) == 0 {
		return
	}
	class := c.Plan.Classes[request.Class]
	first, last := executed[0], executed[len(executed)-1]
	switch class.Idempotency {
	case NotIdempotent:
		if len(executed) > 1 {
			second := executed[1]
			c.violated(NotIdempotentOnce, request.ID, "%s was executed %d times: at servers %d and %d, %v apart", request.ID, len(executed), first.Server, second.Server, second.ReceivedAt.Sub(first.ReceivedAt))
		}
		if rejected(request) {
			c.violated(TruthfulRejection, request.ID, "%s was rejected with %d at %v and had been executed at server %d at %v", request.ID, request.Status, c.sinceStart(request.Ended), first.Server, c.sinceStart(first.ReceivedAt))
		}
	case IdempotentWithKey:
		apart := last.ReceivedAt.Sub(first.ReceivedAt)
		if len(executed) > 1 && apart > class.DedupWindow+harnessSlack {
			c.violated(KeyedOncePerWindow, request.ID, "%s was executed at server %d and again at server %d %v later, with a dedup window of %v", request.ID, first.Server, last.Server, apart, class.DedupWindow)
		}
	}
}

// checkAttempt checks an attempt against the request that it belongs to.
func (c *checker) checkAttempt(a Attempt) {
	request := c.requestsByID[a.ID]
	if request == nil {
		return // the client of the request did not finish sending, and recorded nothing
	}
	const slack = harnessSlack
	// An attempt of a paused process is buffered in the process or in the kernel, and arrives late.
	if !wasPaused(c.processOf(request), a.ReceivedAt) {
		c.checkDisconnected(request, a, slack)
		c.checkDeadline(request, a, slack)
	}
	c.checkDrained(a, slack)
}

// checkDisconnected checks that no attempt was sent after the client had disconnected.
func (c *checker) checkDisconnected(request *Request, a Attempt, slack time.Duration) {
	if late := a.ReceivedAt.Sub(request.Ended); request.End == ClientDisconnected && late > disconnectSlack+slack {
		c.violated(NoAttemptAfterDisconnect, request.ID, "an attempt of %s arrived at server %d %v after its client had disconnected", request.ID, a.Server, late)
	}
}

// checkDeadline checks that the remaining time in an attempt does not exceed its client's remaining time.
func (c *checker) checkDeadline(request *Request, a Attempt, slack time.Duration) {
	remaining := request.Sent.Add(request.Deadline).Sub(a.ReceivedAt)
	if a.Remaining-remaining > deadlineSlack+slack {
		c.violated(DeadlineForwarded, request.ID, "server %d received a remaining time of %v for %s, whose client's remaining time was %v", a.Server, a.Remaining, request.ID, remaining)
	}
}

// checkDrained checks that a server received no attempt after the time by which nodes must have detected that it
// was draining.
func (c *checker) checkDrained(a Attempt, slack time.Duration) {
	for _, drain := range c.Drains[a.Server] {
		latest := drain.From.Add(c.Plan.DrainGrace + slack)
		if anyOverlaps(c.DiscoveryFaults, drain.From.Add(-time.Second), latest) || c.anyUnableToPoll(drain.From, latest) {
			latest = latest.Add(maxUpdateDelay)
		}
		if a.ReceivedAt.After(latest) && a.ReceivedAt.Before(drain.To) {
			c.violated(NoAttemptAfterDrain, a.ID, "%s arrived at server %d at %v, which was listed as draining at %v", a.ID, a.Server, c.sinceStart(a.ReceivedAt), c.sinceStart(drain.From))
		}
	}
}

// checkProcess checks the startup, the exit, the descriptors and the counters of a process.
func (c *checker) checkProcess(process *Process) {
	if process.Failure != "" {
		c.violated(NoCrash, "", "node %d, process %d: %s", process.Node, process.Incarnation, process.Failure)
	}
	if process.StartupTime > maxStartupTime {
		c.violated(ReadyInTime, "", "node %d, process %d took %v until it served", process.Node, process.Incarnation, process.StartupTime)
	}
	if limit := c.Plan.MemoryMB << 20; process.PeakMemory > limit {
		c.violated(WithinMemoryLimit, "", "node %d, process %d had a resident size of %d bytes, of %d", process.Node, process.Incarnation, process.PeakMemory, limit)
	}
	if process.Descriptors > c.Plan.Descriptors {
		c.violated(WithinDescriptorLimit, "", "node %d, process %d had %d open descriptors", process.Node, process.Incarnation, process.Descriptors)
	}
	for _, text := range process.Violations {
		if len(process.Paused) > 0 && strings.Contains(text, lateAnswerCounter) {
			continue // a paused process answers late, and counts that correctly
		}
		c.violated(NoViolationCounted, "", "node %d, process %d: %s", process.Node, process.Incarnation, text)
	}
}

// rejected reports whether the answer to a request says that the request was not executed.
func rejected(request *Request) bool {
	return request.End == Answered && (request.Status == http.StatusServiceUnavailable || request.Status == http.StatusTooManyRequests)
}

// processOf returns the process that a request was sent to, or nil if none is recorded.
func (c *checker) processOf(request *Request) *Process {
	return c.process(request.Node, request.Incarnation)
}

func (c *checker) process(node, incarnation int) *Process {
	for _, p := range c.Processes {
		if p.Node == node && p.Incarnation == incarnation {
			return p
		}
	}
	return nil
}

// killedDuring reports whether the process of a request was killed before the request ended, or no such process is
// recorded.
func killedDuring(p *Process, request *Request) bool {
	return p == nil || !p.Killed.IsZero() && p.Killed.Before(request.Ended.Add(harnessSlack))
}

// closedUnread reports whether a request was sent on a new connection while idle connections used up the
// descriptors, and reached no server. A node may close such a connection without reading from it. Attempts of an earlier
// sending, at another process, say nothing about this one.
func (c *checker) closedUnread(request *Request) bool {
	forwarded := slices.ContainsFunc(c.attemptsByID[request.ID], func(a Attempt) bool { return !a.ReceivedAt.Before(request.Began) })
	return anyOverlaps(c.IdleFloods, request.Sent, request.Ended) && !request.Reused && !forwarded
}

// firstSendingKilled reports whether an attempt belongs to the first sending of a request that was sent again
// because its process was killed. That process could not report that the request was executed.
func (c *checker) firstSendingKilled(request *Request, a Attempt) bool {
	if !request.Resent || !a.ReceivedAt.Before(request.Sent) {
		return false
	}
	p := c.process(request.FirstNode, request.FirstIncarnation)
	return p == nil || !p.Killed.IsZero()
}

// pausedTime returns by how much a process may answer a request later because it was paused meanwhile.
func pausedTime(p *Process, request *Request) time.Duration {
	var sum time.Duration
	for _, pause := range p.Paused {
		if pause.overlaps(request.Sent, request.Ended) {
			sum += pause.To.Sub(pause.From) + pauseRecovery
		}
	}
	return sum
}

// wasPaused reports whether a process was paused at or just before a time.
func wasPaused(p *Process, t time.Time) bool {
	return p != nil && anyOverlaps(p.Paused, t.Add(-pauseRecovery), t)
}

// anyUnableToPoll reports whether any process was paused, starting or without a free descriptor between two times:
// it may have received a change of the endpoint list later than other processes.
func (c *checker) anyUnableToPoll(from, to time.Time) bool {
	return slices.ContainsFunc(c.Processes, func(p *Process) bool {
		starting := Interval{p.Lifetime.From, p.Lifetime.From.Add(startupGrace)}
		return starting.overlaps(from, to) || anyOverlaps(p.Paused, from, to) || anyOverlaps(p.OutOfDescriptors, from, to)
	})
}

func anyOverlaps(intervals []Interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i Interval) bool { return i.overlaps(from, to) })
}
