package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"jasperpin/internal/capacity/endpoints"
)

// usualServers is the size that others are held against, and otherSizes what is played beside it.
const usualServers = 200

var otherSizes = []int{800, 3200}

// serversRun plays one node before lists of several sizes, and holds what it needs against what the
// standing page allows. A share of a core is stood in for by stopping the process for the rest of each
// 20 ms: timers that come due meanwhile are late, as they are where the share is the system's.
func serversRun(ctx context.Context, out io.Writer, args []string) (figures, error) {
	set := flag.NewFlagSet("servers", flag.ContinueOnError)
	length := set.Duration("for", 10*time.Second, "how long a trial lasts")
	share := set.Float64("share", 0.25, "the node's part of a core")
	restarts := set.Int("restarts", 2, "how often the node begins anew in a trial with news")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	var figs figures
	var broken []string
	for _, news := range []endpoints.News{endpoints.NoUpdates, endpoints.Changes, endpoints.Wholes, endpoints.Alternating} {
		trial := endpoints.Trial{Servers: usualServers, News: news, Duration: *length, Rate: 30, Deadline: time.Second, CoreShare: *share}
		if news != endpoints.NoUpdates {
			trial.Restarts = *restarts
		}
		usual, err := playServers(ctx, trial)
		if err != nil {
			return figs, err
		}
		fmt.Fprintf(out, "%s\n", news)
		printServers(out, &figs, trial, usual)
		for _, n := range otherSizes {
			trial.Servers = n
			r, err := playServers(ctx, trial)
			if err != nil {
				return figs, err
			}
			printServers(out, &figs, trial, r)
			for _, row := range endpoints.Compare(usual, r, n, news) {
				verdict := "ok"
				if row.Over {
					verdict = "OVER"
					broken = append(broken, fmt.Sprintf("%s, %d servers: %s", news, n, row.What))
				}
				fmt.Fprintf(out, "    %-24s %12.2f of %12.2f allowed  %s\n", row.What, row.Value, row.Limit, verdict)
			}
		}
	}
	if len(broken) > 0 {
		return figs, fmt.Errorf("%w: %v", errBound, broken)
	}
	return figs, nil
}

// playServers plays one trial in a folder of its own.
func playServers(ctx context.Context, t endpoints.Trial) (endpoints.Result, error) {
	dir, err := os.MkdirTemp("", "jasperpin-servers")
	if err != nil {
		return endpoints.Result{}, fmt.Errorf("a place for files: %w", err)
	}
	defer os.RemoveAll(dir)
	p, err := program("node")
	if err != nil {
		return endpoints.Result{}, err
	}
	p.Says = false
	return endpoints.Run(ctx, t, p, dir)
}

func printServers(out io.Writer, figs *figures, t endpoints.Trial, r endpoints.Result) {
	fmt.Fprintf(out, "  %5d servers: in time %d, late %d, refused %d, failed %d, unanswered %d of %d; p99 %v; cpu %v; peak %.1f MB; descriptors %d; connections %d; lists %d KB\n",
		t.Servers, r.InTime, r.Late, r.Refused, r.Failed, r.Unanswered, r.Requests, r.P99.Round(time.Millisecond), r.CPU, float64(r.PeakMemory)/1e6, r.Descriptors, r.Connections, r.ListBytes>>10)
	name := fmt.Sprintf("%s_%d", map[endpoints.News]string{endpoints.NoUpdates: "calm", endpoints.Changes: "changes", endpoints.Wholes: "whole", endpoints.Alternating: "both"}[t.News], t.Servers)
	figs.add(name+"_in_time", "%.3f", r.Served())
	figs.add(name+"_cpu_s", "%.2f", r.CPU.Seconds())
}
