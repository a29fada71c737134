package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/configsync"
)

// maxReportedNodes bounds the nodes that a relay reports.
const maxReportedNodes = 1000

// relayReport is what a relay reports to operators.
type relayReport struct {
	Version uint64        `json:"Version"`
	Digest  string        `json:"Digest"`
	Age     time.Duration `json:"Age"`           // since it was in sync with a majority of the voters; negative where it never was
	Why     string        `json:"Why,omitempty"` // why it is not in sync
	// Streams is how many nodes it serves: those that have its version in force, those that have
	// reported an older one, and those that have reported none yet, as they have just connected or
	// follow another relay.
	Streams  int          `json:"Streams"`
	Level    int          `json:"Level"`
	Late     int          `json:"Late"`
	Silent   int          `json:"Silent"`
	Refusing int          `json:"Refusing"` // that have rejected records since they started
	Worst    []nodeReport `json:"Worst,omitempty"`
}

// nodeReport is a node that is behind, or has rejected records.
type nodeReport struct {
	Node    string `json:"Node"`
	Zone    string `json:"Zone"`
	Version uint64 `json:"Version"`           // in force, as it has reported
	Behind  uint64 `json:"Behind"`            // versions
	Refused uint64 `json:"Refused,omitempty"` // changes with records that it rejected
	Why     string `json:"Why"`
}

// newRelayReport sums up a relay's nodes, and lists the worst of them.
func newRelayReport(s configsync.RelayStatus, now time.Time, worst int) relayReport {
	r := relayReport{Version: s.Version, Digest: fmt.Sprintf("%x", s.Digest[:digestBytes]), Age: s.Age, Why: s.Reason, Streams: len(s.Nodes)}
	for _, n := range s.Nodes {
		if reported := r.count(s.Version, n, now); reported.Why != "" {
			r.Worst = append(r.Worst, reported)
		}
	}
	sortWorstFirst(r.Worst)
	r.Worst = r.Worst[:min(len(r.Worst), max(0, worst), maxReportedNodes)]
	return r
}

// count counts a node in, and says why it is behind, if it is.
func (r *relayReport) count(newest uint64, n configsync.NodeStatus, now time.Time) nodeReport {
	report := nodeReport{
		Node: n.Name, Zone: n.Zone, Version: n.Report.Version, Refused: n.Report.RejectedChanges,
		Behind: newest - min(newest, n.Report.Version),
	}
	var reasons []string
	switch {
	case report.Behind == 0:
		r.Level++
	case n.Report.Version == 0 && n.SentVersion == 0:
		r.Silent++
		reasons = append(reasons, fmt.Sprintf("has asked for nothing here in %v", now.Sub(n.Since).Round(time.Second)))
	case n.SentVersion < newest:
		r.Late++
		reasons = append(reasons, fmt.Sprintf("takes nothing more: it was sent up to version %d", n.SentVersion))
	default:
		r.Late++
		reasons = append(reasons, "was sent all, and has not said that it is in force")
	}
	if n.Report.RejectedChanges > 0 {
		r.Refusing++
		reasons = append(reasons, fmt.Sprintf("has refused records of %d changes, the last: %s", n.Report.RejectedChanges, n.Report.LastRejection))
	}
	report.Why = strings.Join(reasons, "; ")
	return report
}

func sortWorstFirst(nodes []nodeReport) {
	slices.SortFunc(nodes, func(a, b nodeReport) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Node, b.Node))
	})
}
