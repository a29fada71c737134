package configsync

import (
	"maps"
	"time"

	"jasperpin/internal/configlog"
)

// Status is the state of a node's source for operators.
type Status struct {
	Version uint64           `json:"Version"` // in force
	Digest  configlog.Digest `json:"Digest"`
	// Age is how long ago what is in force was certainly the newest; negative where that is not known.
	Age             time.Duration                 `json:"Age"`
	Relay           string                        `json:"Relay"`             // that is followed; "" for none
	InSync          bool                          `json:"Level"`             // in sync with the relay, and that one with the voters
	Reason          string                        `json:"Why,omitempty"`     // the reason where it is not in sync
	RejectedChanges uint64                        `json:"Refused,omitempty"` // changes that could not be put in force as a whole
	LastRejection   string                        `json:"Refusal,omitempty"` // the error of the last of them
	CopyError       string                        `json:"Copy,omitempty"`    // why no copy is stored; "" where one is
	CloseCounts     map[configlog.CloseReason]int `json:"Left"`              // streams that were closed, by the reason
	// ReceivedBytes and SentBytes are the bytes received and sent so far, as TCP carries them.
	ReceivedBytes int64 `json:"Heard"`
	SentBytes     int64 `json:"Said"`
}

// Reasons of a source that is not in sync. Operators see them.
const (
	reasonDiverged   = "most relays deny what is in force; all is asked for anew"
	reasonRelayStale = "the relay itself is behind, or has not heard of a majority of the voters"
	reasonNoRelay    = "no relay is reached yet"
	reasonLost       = "no relay is reached; the last was left: " // which and why follows
)

// Status returns the source's state.
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

// updateStatus stores the loop's state for Status.
func (s *Source) updateStatus(now time.Duration) {
	status := Status{
		Version:         s.report.Version,
		Digest:          s.follower.State().Digest(),
		RejectedChanges: s.report.RejectedChanges,
		LastRejection:   s.report.LastRejection,
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
	s.opt.Log.Info("a relay of the configuration is left", "relay", relay, "why", string(reason), "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeCounts[reason]++
	s.lastClosed = relay + ": " + string(reason)
	if err != nil {
		s.lastClosed += ": " + err.Error()
	}
}
