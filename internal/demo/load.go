package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"jasperpin/internal/emulator"
)

// columnGap is the space between two columns of the report.
const columnGap = 2

// load is the load of all services.
type load struct {
	running map[string]*emulator.LoadRun
	tallies map[string]map[string]*emulator.Tally // tallies by service and class; set by wait
}

// startLoad starts to send requests for all services to an address, until ctx is done or the demo's duration has
// passed.
func startLoad(ctx context.Context, options Options, address string) *load {
	l := &load{running: make(map[string]*emulator.LoadRun), tallies: make(map[string]map[string]*emulator.Tally)}
	for i, service := range services {
		spec := &emulator.Load{
			Addr: address, Host: service + ".example.org", Rate: options.Rate, Duration: options.Duration, Seed: options.Seed + uint64(i), Retries: 1,
			Kinds: []emulator.RequestKind{Look, Order, Credit}, IDPrefix: service + "-",
		}
		l.running[service] = spec.Start(ctx)
	}
	return l
}

// wait waits until all requests have ended, and begins the faults at their times.
func (l *load) wait(options Options, faults []fault, out io.Writer) {
	done := make(chan struct{})
	go func() { // the goroutine ends once the load has ended
		defer close(done)
		for _, service := range services {
			l.tallies[service] = l.running[service].Wait()
		}
	}()
	began := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-ticker.C:
			for len(faults) > 0 && time.Since(began) >= faults[0].at {
				faults[0].begin()
				faults = faults[1:]
			}
		}
		if options.ShowProgress {
			l.printProgress(out, time.Since(began))
		}
	}
	if options.ShowProgress {
		fmt.Fprintln(out)
	}
}

// printProgress updates the progress line.
func (l *load) printProgress(out io.Writer, elapsed time.Duration) {
	fmt.Fprintf(out, "\r%5.1fs", elapsed.Seconds())
	for _, service := range services {
		running := l.running[service]
		fmt.Fprintf(out, "  %s: %d sent, %d ended", service, running.Sent.Load(), running.Ended.Load())
	}
}

// printReport prints a table of requests by service and class. It returns an error if an answer was lost or wrong.
func printReport(out io.Writer, tallies map[string]map[string]*emulator.Tally, attempts map[string]map[string]int) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tclass\trequests\tin time\tlate\trejected\tfailed\tp50 ms\tp99 ms\tattempts per request\t")
	lostOrWrong := 0
	for _, service := range services {
		for _, class := range slices.Sorted(maps.Keys(tallies[service])) {
			t := tallies[service][class]
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t\n", service, class, t.Requests, t.Results[emulator.InTime], t.Results[emulator.Late],
				t.Results[emulator.Rejected], t.Results[emulator.Failed], quantileMS(t, 0.5), quantileMS(t, 0.99),
				float64(attempts[service][class])/float64(max(t.Attempts, 1)))
			lostOrWrong += t.Results[emulator.Lost] + t.Results[emulator.Wrong]
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("printing the table: %w", err)
	}
	if lostOrWrong > 0 {
		return fmt.Errorf("%d requests got no answer or a wrong one", lostOrWrong)
	}
	return nil
}

// quantileMS returns a quantile of the latencies, in milliseconds.
func quantileMS(t *emulator.Tally, q float64) float64 {
	return float64(t.Quantile(q)) / float64(time.Millisecond)
}
