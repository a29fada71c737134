package configsync

import (
	"maps"
	"time"

	"jasperpin/internal/configlog"
)

// Status is the status of a node's source, for operators.
type Status struct {
	Version uint64           `json:"Version"` // the current version
	Digest  configlog.Digest `json:"Digest"`
	// Age is the time since the current version was certainly the newest; negative if that time is not known.
	Age           time.Duration                 `json:"Age"`
	Relay         string                        `json:"Relay"`             // the relay that the source follows; "" for none
	InSync        bool                          `json:"Level"`             // the relay that the source follows is in sync with the voters
	Reason        string                        `json:"Why,omitempty"`     // why the source is not in sync; "" if it is in sync
	FailedChanges uint64                        `json:"Refused,omitempty"` // the number of changes that the node could not fully apply
	LastFailure   string                        `json:"Refusal,omitempty"` // the error of the last such change
	CopyError     string                        `json:"Copy,omitempty"`    // why no copy is stored on disk; "" if a copy is stored
	CloseCounts   map[configlog.CloseReason]int `json:"Left"`              // the number of closed streams by reason
	// ReceivedBytes and SentBytes count the bytes received and sent so far, including TLS but not TCP overhead.
	ReceivedBytes int64 `json:"Heard"`
	SentBytes     int64 `json:"Said"`
}

// Reasons why a source is not in sync. They are shown to operators.
const (
	reasonDiverged   = "most relays have another history; requesting a full snapshot"
	reasonRelayStale = "the relay is behind, or has lost contact with a majority of the voters"
	reasonNoRelay    = "no relay reached yet"
	reasonLost       = "no relay reachable; the last stream was closed: " // followed by its relay and the reason
)

// Status returns the source's status. It may be called from any goroutine.
func (s *Source) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Age = -1
	if !s.inSyncAt.IsZero() {
		status.Age = time.Since(s.inSyncAt)
	}
	status.CloseCounts = maps.Clone(s.closeCounts)
	status.ReceivedBytes, status.SentBytes = s.receivedBytes.Load(), s.sentBytes.Load()
	return status
}

// updateStatus updates the status that Status returns from the loop's state.
func (s *Source) updateStatus(now time.Duration) {
	status := Status{
		Version:       s.report.Version,
		Digest:        s.follower.State().Digest(),
		FailedChanges: s.report.FailedChanges,
		LastFailure:   s.report.LastFailure,
	}
	status.Relay, status.InSync = s.follower.Following(now)
	if s.copy != nil && s.copy.err != nil {
		status.CopyError = s.copy.err.Error()
	}
	age := s.follower.Age(now)
	diverged := s.follower.Diverged()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case status.InSync:
	case diverged:
		status.Reason = reasonDiverged
	case status.Relay != "":
		status.Reason = reasonRelayStale
	case s.lastClosed != "":
		status.Reason = reasonLost + s.lastClosed
	default:
		status.Reason = reasonNoRelay
	}
	s.status = status
	if age < configlog.AgeUnknown {
		s.inSyncAt = s.start.Add(now - age)
	}
}

// recordClosed counts and logs that a relay's stream was closed, unless it was a redundant one.
func (s *Source) recordClosed(relay string, reason configlog.CloseReason, err error) {
	if reason == configlog.ReasonRedundant {
		return
	}
	s.opt.Log.Info("configuration stream to relay closed", "relay", relay, "why", string(reason), "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeCounts[reason]++
	s.lastClosed = relay + ": " + string(reason)
	if err != nil {
		s.lastClosed += ": " + err.Error()
	}
}
