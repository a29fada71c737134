package core

import "time"

// clock converts between times and the Balancer's clock. That clock counts from the Unix epoch, so that the start
// times that servers report need no conversion, but it is monotonic, so that a step of the wall clock changes
// no deadline.
type clock struct{ start time.Time }

// clockTime converts a time to the Balancer's clock.
func (c clock) clockTime(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// wallTime is the inverse of clockTime.
func (c clock) wallTime(t time.Duration) time.Time {
	return c.start.Add(t - time.Duration(c.start.UnixNano()))
}
