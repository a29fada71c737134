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

// nodeEnv has this test's program be a node, and raceEnds has one under the race detector end at once: it
// would stay for a second more, and be killed.
const (
	nodeEnv  = "JASPERPIN_SOAK_NODE"
	raceEnds = "GORACE=atexit_sleep_ms=0"
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) == "" {
		os.Exit(m.Run())
	}
	if err := serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// serve is a node by the platform's environment.
func serve() error {
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

// TestShortRun plays one short plan with real processes: no promise is broken, and there was something
// to see.
func TestShortRun(t *testing.T) { holds(t, NewPlan(7, 5*time.Second)) }

// TestSeededRuns plays plans of a row of seeds, a few at a time: thousands of listed names, crowds, nodes
// that end in turn and are killed as early as the platform may, whatever these seeds draw.
func TestSeededRuns(t *testing.T) {
	for seed := uint64(301); seed < 309; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { holds(t, NewPlan(seed, 6*time.Second)) })
	}
}

// TestNodesEndInTurn has all nodes of a fleet before thousands of names told to end, one behind the other,
// with signals beside, under a crowd: each is killed as early as the platform may, and nothing is lost.
func TestNodesEndInTurn(t *testing.T) {
	p := NewPlan(7, 6*time.Second)
	p.Names = mostNames
	p.Troubles = []Trouble{
		{Kind: ClientsCrowd, At: time.Second, For: 3 * time.Second},
		{Kind: NodesEndInTurn, At: 1500 * time.Millisecond, For: time.Second},
	}
	holds(t, p)
}

// TestNoDescriptorLeft has a node that is in use be let open no descriptor more for two seconds, longer
// than its clients wait: it makes room, and keeps all promises.
func TestNoDescriptorLeft(t *testing.T) {
	p := NewPlan(1013, 5*time.Second)
	p.Troubles = []Trouble{{Kind: NodeStarves, At: 2 * time.Second, For: 2 * time.Second, Target: 2}}
	holds(t, p)
}

// TestNoDescriptorLeftInACrowd has connections that say nothing come beside: they wait to be accepted ahead
// of clients' requests, and are given up as ones that have been silent since they came.
func TestNoDescriptorLeftInACrowd(t *testing.T) {
	p := NewPlan(1013, 5*time.Second)
	p.Troubles = []Trouble{
		{Kind: NodeStarves, At: 2 * time.Second, For: 2 * time.Second, Target: 2},
		{Kind: ClientsCrowd, At: 2500 * time.Millisecond, For: 2 * time.Second},
	}
	holds(t, p)
}

// holds plays a plan.
func holds(t *testing.T, p Plan) {
	t.Helper()
	t.Parallel()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), p, Options{Program: testbed.Program{Path: self, Env: []string{nodeEnv + "=1", raceEnds}, Says: true}, Dir: t.TempDir()})
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
