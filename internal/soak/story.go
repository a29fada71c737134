package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Story lists what was done and seen of one request, in order of time.
func Story(r *Record, requestID string) []string {
	events := storyEvents(r, requestID)
	slices.SortFunc(events, func(a, b storyEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	lines := make([]string, 0, len(events))
	for _, e := range events {
		lines = append(lines, fmt.Sprintf("%8v %s", e.at.Sub(r.Began).Round(time.Millisecond), e.text))
	}
	return lines
}

type storyEvent struct {
	at   time.Time
	text string
}

func storyEvents(r *Record, requestID string) []storyEvent {
	var events []storyEvent
	for i := range r.Requests {
		if q := &r.Requests[i]; q.ID == requestID {
			sent := fmt.Sprintf("client sent %s (class %s, %v) to node %d, process %d", q.ID, r.Plan.Classes[q.Class].Name, q.Deadline, q.Node, q.Incarnation)
			ended := fmt.Sprintf("client: end %d, status %d", q.End, q.Status)
			events = append(events, storyEvent{q.Sent, sent}, storyEvent{q.Ended, ended})
		}
	}
	for _, a := range r.Attempts {
		if a.ID == requestID {
			received := fmt.Sprintf("server %d: an attempt, deadline %v, executed %t, rejected %t", a.Server, a.DeadlineLeft, a.Executed, a.Rejected)
			events = append(events, storyEvent{a.ReceivedAt, received})
		}
	}
	return events
}
