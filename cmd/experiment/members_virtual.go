package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"jasperpin/internal/fleetsim"
)

// virtualConvergence is the time until all of 300 members have detected a change, in virtual time.
const virtualConvergence = 5 * time.Second

// measureVirtualMembers runs large fleets in virtual time, with a tenth of the messages lost.
func measureVirtualMembers(out io.Writer, measured *measurements) error {
	const loss = 0.1
	changes := []fleetsim.Change{fleetsim.Begin, fleetsim.Join, fleetsim.Leave, fleetsim.Restart, fleetsim.Partition}
	names := []string{"begin", "join", "leave", "back", "heal"}
	for _, n := range []int{300, 1000} {
		r, err := fleetsim.Members{Count: n, Loss: loss, Seed: membersSeed, Changes: changes}.Run()
		if err != nil {
			return fmt.Errorf("%d members in virtual time: %w", n, err)
		}
		fmt.Fprintf(out, "%d members in virtual time, a tenth of the messages lost: all members have detected", n)
		for i, k := range r.Changes {
			fmt.Fprintf(out, " %s after %v,", names[i], k.After)
			measured.add(fmt.Sprintf("v%d_%s_ms", n, names[i]), "%d", k.After.Milliseconds())
		}
		fmt.Fprintf(out, " %.0f bytes per member and second, maximum sum of quotas %.6f\n", r.Bytes, r.MaxQuotaSum)
		measured.add(fmt.Sprintf("v%d_most_parts", n), "%.6f", r.MaxQuotaSum)
		if r.MaxQuotaSum > 1+quotaTolerance {
			return fmt.Errorf("%w: quotas add up to %v", errBound, r.MaxQuotaSum)
		}
	}
	return nil
}

// resizeCase is a fleet that grows or shrinks. Quotas follow the known members: a member gets its quota knownAfter
// after its start. If knownAfter is 0, quotas follow the fixed number of nodes in the settings.
type resizeCase struct {
	name       string
	from, to   float64 // shares of the nodes that run before and after the resize
	knownAfter time.Duration
}

var resizeCases = []resizeCase{
	{"doubles, by hand", 0.5, 1, 0}, {"doubles, live", 0.5, 1, virtualConvergence},
	{"halves, by hand", 1, 0.5, 0}, {"halves, live", 1, 0.5, virtualConvergence},
}

// resizeResult holds the worst values over the seeds.
type resizeResult struct {
	maxLoad       float64 // highest load sent to a server in slow start
	minUse        float64 // lowest utilization of servers in slow start, relative to others
	missedPercent float64
}

// measureResizedFleets doubles and halves fleets in virtual time, while a third of the servers are replaced by
// servers in slow start.
func measureResizedFleets(out io.Writer, measured *measurements) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "160 nodes, 90 servers, four seeds\tmax load of a cold server\tmin use of cold servers relative to others\tmissed %")
	for _, c := range resizeCases {
		r, err := c.run()
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\n", c.name, r.maxLoad, r.minUse, r.missedPercent)
		name := strings.NewReplacer(", ", "_", " ", "_").Replace(c.name)
		measured.add(name+"_cold_most", "%.2f", r.maxLoad)
		measured.add(name+"_cold_use", "%.2f", r.minUse)
	}
	return w.Flush()
}

// run simulates the case with each seed.
func (c resizeCase) run() (resizeResult, error) {
	const nodes, servers, seeds = 160, 90, 4
	worst := resizeResult{minUse: 1e9}
	for seed := range uint64(seeds) {
		settings, err := fleetsim.ScenarioSettings("calm", nodes, servers, seed+1)
		if err != nil {
			return worst, err
		}
		settings.Replace.At, settings.Replace.Over, settings.Replace.Part = 5*time.Second, 6*time.Second, 1.0/3
		resize := &settings.Resize
		resize.At, resize.Over, resize.From, resize.To, resize.QuotaDelay = 6*time.Second, 2*time.Second, c.from, c.to, c.knownAfter
		r, err := fleetsim.Run(settings)
		if err != nil {
			return worst, err
		}
		worst.maxLoad = max(worst.maxLoad, r.MaxSlowStartLoad)
		worst.minUse = min(worst.minUse, r.SlowStartUse/r.WarmUse)
		worst.missedPercent = max(worst.missedPercent, 100*r.MissedShare())
	}
	return worst, nil
}
