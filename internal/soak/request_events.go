package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// RequestEvents lists the events of one request in order of time.
func RequestEvents(r *Record, requestID string) []string {
	events := requestEvents(r, requestID)
	slices.SortFunc(events, func(a, b requestEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	lines := make([]string, 0, len(events))
	for _, e := range events {
		lines = append(lines, fmt.Sprintf("%8v %s", e.at.Sub(r.Began).Round(time.Millisecond), e.text))
	}
	return lines
}

type requestEvent struct {
	at   time.Time
	text string
}

func requestEvents(r *Record, requestID string) []requestEvent {
	var events []requestEvent
	for i := range r.Requests {
		if request := &r.Requests[i]; request.ID == requestID {
			sent := fmt.Sprintf("client sent %s (class %s, %v) to node %d, process %d", request.ID, r.Plan.Classes[request.Class].Name, request.Deadline, request.Node, request.Incarnation)
			ended := fmt.Sprintf("client's request ended with end %d, status %d", request.End, request.Status)
			events = append(events, requestEvent{request.Sent, sent}, requestEvent{request.Ended, ended})
		}
	}
	for _, a := range r.Attempts {
		if a.ID == requestID {
			received := fmt.Sprintf("server %d received an attempt: remaining time %v, executed %t, rejected %t", a.Server, a.Remaining, a.Executed, a.Rejected)
			events = append(events, requestEvent{a.ReceivedAt, received})
		}
	}
	return events
}
