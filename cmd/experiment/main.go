// Command experiment runs the project's measurements. A scenario uses fixed seeds, runs on loopback for a limited
// time, and prints a table and, as its last line, its measurements as name=value. The program exits with status 1 if
// the scenario fails or violates one of its bounds. docs/MEASUREMENTS.md lists the results. CI runs no scenario.
//
// The program also runs as the child processes that are measured: see runChild.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
)

// scenario is a measured run. Journals of earlier runs refer to it by its name.
type scenario struct {
	about      string
	run        func(ctx context.Context, out io.Writer, args []string) (measurements, error)
	takesFlags bool
}

// withoutFlags adapts the run of a scenario that takes no flags.
func withoutFlags(run func(context.Context, io.Writer) (measurements, error)) func(context.Context, io.Writer, []string) (measurements, error) {
	return func(ctx context.Context, out io.Writer, _ []string) (measurements, error) { return run(ctx, out) }
}

var scenarios = map[string]scenario{
	"services":     {about: "a service next to an overloaded and a silent one, and reloads under load", run: withoutFlags(servicesRun)},
	"planners":     {about: "forwarders with planners compared with single-level nodes: steady load, bursts, failures", run: withoutFlags(plannersRun)},
	"cold":         {about: "servers in slow start behind 20 and 30 processes, and behind 300 and 2,600 nodes in virtual time", run: withoutFlags(slowStartRun)},
	"planners-sim": {about: "single-level nodes compared with shared planners and forwarders, in virtual time", run: withoutFlags(plannersSimRun)},
	"mass":         {about: "six kinds of days of 300 nodes and 200 servers in virtual time, with six seeds each", run: withoutFlags(fleetDaysRun)},
	"operation":    {about: "latency of admin calls, long bodies compared with httputil.ReverseProxy, and memory of open uploads", run: withoutFlags(operationRun)},
	"cluster":      {about: "a consensus group of three voters: memory, compare-and-sets, and killed and stopped leaders", run: withoutFlags(clusterRun)},
	"config":       {about: "configuration changes from voters through relays to many nodes", run: configRun, takesFlags: true},
	"members":      {about: "fleets of 5, 12 and 30 processes: joins, leaves, kills, partitions, packet loss and pauses", run: withoutFlags(membersRun)},
	"ready":        {about: "30 and 60 processes restarted together, while discovery serves, is overloaded or is down", run: withoutFlags(readyRun)},
	"keys":         {about: "a node's idempotency keys in memory, on disk, and across kills of the node", run: withoutFlags(keysRun)},
	"soak":         {about: "real processes under overlapping faults drawn from seeds, checked by an oracle", run: soakRun, takesFlags: true},
	"servers":      {about: "a node with a share of a core and 200, 800 and 3,200 listed servers, checked against limits", run: serversRun, takesFlags: true},
	"scale":        {about: "growth of costs with the size of a deployment, checked against limits at the stated size", run: scaleRun, takesFlags: true},
	"overhead":     {about: "processor time and p99 latency compared with httputil.ReverseProxy", run: withoutFlags(overheadRun)},
}

// measurements are a scenario's results as name=value, in order.
type measurements []string

func (m *measurements) add(name, format string, v any) {
	*m = append(*m, name+"="+fmt.Sprintf(format, v))
}

// errBound is the error of a scenario that violates one of its bounds.
var errBound = errors.New("bound violated")

func main() {
	if kind := os.Getenv(childEnv); kind != "" {
		if err := runChild(kind, os.Args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, "experiment:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) < 2 {
		usage()
	}
	name, args := os.Args[1], os.Args[2:]
	s, ok := scenarios[name]
	if !ok || len(args) > 0 && !s.takesFlags {
		usage()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Printf("%s on %d cores, %s\n", name, runtime.NumCPU(), runtime.Version())
	results, err := s.run(ctx, os.Stdout, args)
	fmt.Println(strings.Join(results, " "))
	if err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		stop()
		os.Exit(1)
	}
}

// usage prints the scenarios to standard error and exits with status 2.
func usage() {
	fmt.Fprintln(os.Stderr, "usage: experiment SCENARIO [flags]; config, scale, servers and soak accept flags, which experiment SCENARIO -h lists")
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		fmt.Fprintf(os.Stderr, "  %-12s %s\n", name, scenarios[name].about)
	}
	os.Exit(2)
}
