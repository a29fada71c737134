package soak

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/node"
)

// nodeEnv makes the test binary run as a node. raceEnds has a node under the race detector exit at once: by
// default it sleeps for a second first, and would be killed meanwhile.
const (
	nodeEnv  = "JASPERPIN_SOAK_NODE"
	raceEnds = "GORACE=atexit_sleep_ms=0"
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) == "" {
		os.Exit(m.Run())
	}
	if err := runNode(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runNode runs a node configured by the platform's environment.
func runNode() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	n, err := node.Start(&node.Platform{Getenv: os.Getenv}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	fmt.Println(n.Addrs()[0])
	return n.Run(ctx, reload)
}

// TestShortRun runs one short plan with real processes: nothing promised is violated, and there was enough
// traffic to tell.
func TestShortRun(t *testing.T) { checkPlan(t, NewPlan(7, 5*time.Second)) }

// TestSeededRuns runs the plans of consecutive seeds, a few at a time. Between them they draw thousands of
// listed servers, idle connections, and rolling restarts whose nodes are killed as early as the platform may.
func TestSeededRuns(t *testing.T) {
	for seed := uint64(301); seed < 309; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkPlan(t, NewPlan(seed, 6*time.Second)) })
	}
}

// TestRollingRestart: a release restarts one node after another. Thousands of servers are listed, idle
// connections fill the descriptors, and each node gets further signals while it shuts down and is killed as
// early as the platform may. No request is lost.
func TestRollingRestart(t *testing.T) {
	p := NewPlan(7, 6*time.Second)
	p.ListedServers = maxListedServers
	p.Faults = []Fault{
		{Kind: ClientsIdle, At: time.Second, Duration: 3 * time.Second},
		{Kind: RollingRestart, At: 1500 * time.Millisecond, Duration: time.Second},
	}
	checkPlan(t, p)
}

// TestNoDescriptorLeft: for two seconds, longer than its clients wait, a busy node may open no further
// descriptor. It frees some by itself, and violates nothing.
func TestNoDescriptorLeft(t *testing.T) {
	p := NewPlan(1013, 5*time.Second)
	p.Faults = []Fault{{Kind: NodeOutOfDescriptors, At: 2 * time.Second, Duration: 2 * time.Second, Target: 2}}
	checkPlan(t, p)
}

// TestNoDescriptorLeftWithIdleClients: as TestNoDescriptorLeft, while clients open connections and send
// nothing. Those are queued for accept ahead of the clients' requests, and the node closes them as
// connections that were silent since they were accepted.
func TestNoDescriptorLeftWithIdleClients(t *testing.T) {
	p := NewPlan(1013, 5*time.Second)
	p.Faults = []Fault{
		{Kind: NodeOutOfDescriptors, At: 2 * time.Second, Duration: 2 * time.Second, Target: 2},
		{Kind: ClientsIdle, At: 2500 * time.Millisecond, Duration: 2 * time.Second},
	}
	checkPlan(t, p)
}

// checkPlan runs a plan and reports what the oracle finds.
func checkPlan(t *testing.T, p Plan) {
	t.Helper()
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), p, Options{Program: testbed.Program{Path: self, Env: []string{nodeEnv + "=1", raceEnds}, Announces: true}, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range Check(r) {
		t.Errorf("%s: %s", v.Rule, v.Text)
	}
	if len(r.Requests) < 100 || len(r.Attempts) < 100 {
		t.Errorf("%d requests and %d attempts", len(r.Requests), len(r.Attempts))
	}
	if t.Failed() {
		for _, line := range r.Log {
			t.Log(line)
		}
	}
}
