package testbed

import (
	"bufio"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// logTick is the resolution of times in the logs.
const logTick = time.Millisecond

// quotaChange is the quota of a process from a time on.
type quotaChange struct {
	at          time.Time
	incarnation int // index into Fleet.started
	quota       float64
}

// MaxQuotaSum returns the maximum over time of the sum of all quotas, according to the members' logs, and the time
// at which it was reached. Changes within one logTick count as one change.
func (f *Fleet) MaxQuotaSum() (maxSum float64, at time.Time, err error) {
	changes, err := f.quotaChanges()
	if err != nil {
		return 0, at, err
	}
	slices.SortStableFunc(changes, func(a, b quotaChange) int {
		return a.at.Truncate(logTick).Compare(b.at.Truncate(logTick))
	})
	quotas, sum := make([]float64, len(f.started)), 0.0
	for i, c := range changes {
		sum += c.quota - quotas[c.incarnation]
		quotas[c.incarnation] = c.quota
		lastOfTick := i+1 == len(changes) || changes[i+1].at.Truncate(logTick).After(c.at.Truncate(logTick))
		if lastOfTick && sum > maxSum {
			maxSum, at = sum, c.at
		}
	}
	return maxSum, at, nil
}

// quotaChanges returns all changes of quotas: those that processes logged, the ends of processes, and expired
// leases.
func (f *Fleet) quotaChanges() ([]quotaChange, error) {
	var all []quotaChange
	for n, s := range f.started {
		lines := bufio.NewScanner(strings.NewReader(s.process.Logged()))
		for lines.Scan() {
			c, ok, err := parseQuota(lines.Text())
			if err != nil {
				return nil, err
			}
			if ok {
				c.incarnation = n
				all = append(all, c)
			}
		}
		if !s.ended.IsZero() {
			all = append(all, quotaChange{s.ended, n, 0})
		}
	}
	for _, expiry := range f.leaseExpiries {
		n := slices.IndexFunc(f.started, func(s incarnation) bool { return s.process == expiry.process })
		all = append(all, quotaChange{expiry.ended, n, 0})
	}
	return all, nil
}

// parseQuota parses the log line in which a member reports its position in the fleet. The quota is the last
// attribute. parseQuota returns false for other lines.
func parseQuota(line string) (c quotaChange, ok bool, err error) {
	_, attributes, ok := strings.Cut(line, " msg=members ")
	if !ok {
		return c, false, nil
	}
	at, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	_, quota, _ := strings.Cut(attributes, "quota=")
	if c.at, err = time.Parse(time.RFC3339Nano, at); err == nil {
		c.quota, err = strconv.ParseFloat(quota, 64)
	}
	if err != nil {
		return c, false, fmt.Errorf("parsing a member's log line %q: %w", line, err)
	}
	return c, true, nil
}
