package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"

	"jasperpin/internal/emulator/testbed"
	"jasperpin/internal/node"
)

// nodeEnv is the environment variable that makes the test binary run as a node, with its argument as the file.
const nodeEnv = "SCALE_TEST_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeEnv) == "" {
		os.Exit(m.Run())
	}
	n, err := node.Start(node.File{Path: os.Args[1]}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err == nil {
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		fmt.Println(n.Addrs()[0])
		err = n.Run(ctx, reload)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// startNode starts the test binary as a node.
func startNode(dir, name, file string) (*testbed.Process, error) {
	return testbed.Program{Path: os.Args[0], Env: []string{nodeEnv + "=1"}, Announces: true}.Start(dir, name, file)
}

// parallelTrials are the trials that do not measure this process, and so may run in parallel with others.
var parallelTrials = map[string]bool{"file": true, "members": true, "requests": true}

// TestTrials runs each trial at small sizes. Each returns slopes that have a verdict, and marks values beyond the
// largest measured size as extrapolated.
func TestTrials(t *testing.T) {
	for _, trial := range Trials {
		t.Run(trial.Name, func(t *testing.T) {
			if parallelTrials[trial.Name] {
				t.Parallel()
			}
			var out bytes.Buffer
			found, err := trial.Run(context.Background(), Options{Deployment: Stated, Small: true, Dir: t.TempDir(), StartNode: startNode, Log: io.Discard}, &out)
			if err != nil {
				t.Fatalf("running the trial: %v\noutput:\n%s", err, out.String())
			}
			if len(found.Slopes) == 0 {
				t.Error("the trial returned no slope")
			}
			for _, s := range found.Slopes {
				if len(s.Samples) < minSizes || s.Unit == "" || s.SizeUnit == "" || s.Role == "" {
					t.Errorf("slope %+v: want %d sizes, a unit, the quantity that the size counts, and a role", s, minSizes)
				}
				v, err := s.Evaluate()
				if err != nil { // a small run may be too short to measure the slope
					if !slices.ContainsFunc(s.Samples, func(p Sample) bool { return p.Value <= 0 }) || !strings.Contains(out.String(), s.Name) {
						t.Error(err)
					}
					continue
				}
				if v.Extrapolated && !strings.Contains(out.String(), "extrapolated from "+digits(v.Reached)) {
					t.Errorf("slope %s: the output does not mark the verdict %+v as extrapolated", s.Name, v)
				}
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
}
