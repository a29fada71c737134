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

// quotaChange is the quota that a process has from some time on.
type quotaChange struct {
	at          time.Time
	incarnation int // index into Fleet.started
	quota       float64
}

// MaxQuotaSum is the greatest sum of quotas in use at any time, by the members' own logs, and when that was.
// Changes within one tick of the logs' clock count as one.
func (f *Fleet) MaxQuotaSum() (most float64, at time.Time, err error) {
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
		if lastOfTick && sum > most {
			most, at = sum, c.at
		}
	}
	return most, at, nil
}

// quotaChanges are all changes of quotas: what processes logged, their ends, and lapsed leases.
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
	for _, lapse := range f.lapses {
		n := slices.IndexFunc(f.started, func(s incarnation) bool { return s.process == lapse.process })
		all = append(all, quotaChange{lapse.ended, n, 0})
	}
	return all, nil
}

// parseQuota reads the log line in which a member notes its position in the fleet. Its quota is the last
// attribute. It returns false for other lines.
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
