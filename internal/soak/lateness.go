package soak

import "time"

const (
	// probeInterval is the interval at which the harness measures how late its own timers are.
	probeInterval = 5 * time.Millisecond
	// minReportedLateness is the least lateness of the harness that is reported in the log of a run.
	minReportedLateness = 50 * time.Millisecond
)

// reportLateness logs how late the harness itself was, until stop is closed: it serves clients, links and servers in one
// process.
func (r *run) reportLateness(stop <-chan struct{}) {
	for {
		due := time.Now().Add(probeInterval)
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
		if late := time.Since(due); late >= minReportedLateness {
			r.logf("the harness ran %v late", late.Round(time.Millisecond))
		}
	}
}
