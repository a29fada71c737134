package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"jasperpin/internal/configsync"
)

// maxReportedNodes is the maximum number of nodes in a relay's report.
const maxReportedNodes = 1000

// relayReport is a relay's report to operators.
type relayReport struct {
	Version uint64        `json:"Version"`
	Digest  string        `json:"Digest"`
	Age     time.Duration `json:"Age"`           // time since the relay was in sync with a majority of the voters; negative for never
	Why     string        `json:"Why,omitempty"` // why the relay is not in sync; "" if it is in sync
	// Streams is the number of connected nodes: Level of them have applied the relay's version, Late have
	// reported an older version, and Silent have reported no version yet, because they have just connected or
	// follow another relay.
	Streams  int          `json:"Streams"`
	Level    int          `json:"Level"`
	Late     int          `json:"Late"`
	Silent   int          `json:"Silent"`
	Refusing int          `json:"Refusing"` // nodes that have rejected records since they started
	Worst    []nodeReport `json:"Worst,omitempty"`
}

// nodeReport is a node that is behind or has rejected records.
type nodeReport struct {
	Node    string `json:"Node"`
	Zone    string `json:"Zone"`
	Version uint64 `json:"Version"`           // the applied version that the node last reported
	Behind  uint64 `json:"Behind"`            // number of versions that the node is behind
	Refused uint64 `json:"Refused,omitempty"` // changes with records that the node rejected
	Why     string `json:"Why"`
}

// newRelayReport counts a relay's nodes by their state, and lists at most worst of them, the worst first.
func newRelayReport(s configsync.RelayStatus, now time.Time, worst int) relayReport {
	r := relayReport{Version: s.Version, Digest: fmt.Sprintf("%x", s.Digest[:shownDigestBytes]), Age: s.Age, Why: s.Reason, Streams: len(s.Nodes)}
	for _, n := range s.Nodes {
		if reported := r.addNode(s.Version, n, now); reported.Why != "" {
			r.Worst = append(r.Worst, reported)
		}
	}
	sortWorstFirst(r.Worst)
	r.Worst = r.Worst[:min(len(r.Worst), max(0, worst), maxReportedNodes)]
	return r
}

// addNode counts a node, and returns its report. Why is "" for a node that is not behind and has rejected nothing.
func (r *relayReport) addNode(newest uint64, n configsync.NodeStatus, now time.Time) nodeReport {
	report := nodeReport{
		Node: n.Name, Zone: n.Zone, Version: n.Report.Version, Refused: n.Report.FailedChanges,
		Behind: newest - min(newest, n.Report.Version),
	}
	var reasons []string
	switch {
	case report.Behind == 0:
		r.Level++
	case n.Report.Version == 0 && n.SentVersion == 0:
		r.Silent++
		reasons = append(reasons, fmt.Sprintf("has not requested any version from this relay for %v", now.Sub(n.ConnectedAt).Round(time.Second)))
	case n.SentVersion < newest:
		r.Late++
		reasons = append(reasons, fmt.Sprintf("accepts no more data: it was sent changes up to version %d", n.SentVersion))
	default:
		r.Late++
		reasons = append(reasons, "was sent all changes, but has not reported them as applied")
	}
	if n.Report.FailedChanges > 0 {
		r.Refusing++
		reasons = append(reasons, fmt.Sprintf("rejected records of %d changes, the last: %s", n.Report.FailedChanges, n.Report.LastFailure))
	}
	report.Why = strings.Join(reasons, "; ")
	return report
}

func sortWorstFirst(nodes []nodeReport) {
	slices.SortFunc(nodes, func(a, b nodeReport) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Behind, a.Behind), cmp.Compare(a.Node, b.Node))
	})
}
