package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"jasperpin/internal/admin"
)

// clearScreen moves a terminal's cursor to its first line and clears it.
const clearScreen = "\x1b[H\x1b[2J"

// gauges are the metrics that also decrease, and are printed without a rate.
var gauges = map[string]bool{
	"svc.open_requests": true, "svc.registry_entries": true, "svc.out_of_rotation": true,
	"config_version": true, "config_level": true, "config_age_ms": true, "config_refused": true,
}

// metricsSample is the values of the metrics at the last successful call, and its time.
type metricsSample struct {
	values map[string]uint64
	at     time.Time
}

// watch prints the metrics with their rates a number of times, 0 for no limit, or until ctx is done. It
// prints the error of a failed call and continues: the node may be restarting.
func (c *adminClient) watch(ctx context.Context, out io.Writer, every time.Duration, times int) error {
	clearsScreen := isTerminal(out)
	last := metricsSample{values: make(map[string]uint64)}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 1; ; n++ {
		all, err := c.metrics(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if clearsScreen {
			fmt.Fprint(out, clearScreen)
		}
		if err != nil {
			fmt.Fprintln(out, err)
		} else if err := c.printWatch(out, all, &last); err != nil {
			return err
		}
		if n == times {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// printWatch prints the metrics with their rates since the last sample, then stores them as the last sample.
func (c *adminClient) printWatch(out io.Writer, all []admin.Metric, last *metricsSample) error {
	now := time.Now()
	err := c.print(out, all, func(w io.Writer) { last.printRates(w, all, now) })
	if err != nil {
		return err
	}
	for _, m := range all {
		last.values[m.Name] = m.Value
	}
	last.at = now
	return nil
}

// printRates prints the metrics as a table. A counter that has decreased belongs to a new
// process, and has no rate.
func (l *metricsSample) printRates(out io.Writer, all []admin.Metric, now time.Time) {
	table := newTable(out)
	for _, m := range all {
		rate := ""
		if previous, seen := l.values[m.Name]; seen && !gauges[m.Name] && m.Value >= previous {
			rate = fmt.Sprintf("%.1f/s", float64(m.Value-previous)/now.Sub(l.at).Seconds())
		}
		fmt.Fprintf(table, "%s\t%d\t%s\n", m.Name, m.Value, rate)
	}
	_ = table.Flush() // a write error recurs at the next write
}

// isTerminal reports whether output goes to a terminal.
func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
