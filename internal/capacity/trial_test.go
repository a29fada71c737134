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

// nodeEnv makes the test binary run as a node, with the file that is its argument.
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

// parallelTrials are trials that do not measure this process, so that others may run at the same time.
var parallelTrials = map[string]bool{"file": true, "members": true, "requests": true}

// TestTrials runs each trial at small sizes. Each finds slopes that can be judged, and says of values beyond
// the largest size that they are extrapolated.
func TestTrials(t *testing.T) {
	for _, trial := range Trials {
		t.Run(trial.Name, func(t *testing.T) {
			if parallelTrials[trial.Name] {
				t.Parallel()
			}
			var out bytes.Buffer
			found, err := trial.Run(context.Background(), Options{Deployment: Stated, Small: true, Dir: t.TempDir(), StartNode: startNode, Log: io.Discard}, &out)
			if err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
			if len(found.Slopes) == 0 {
				t.Error("found no slope")
			}
			for _, s := range found.Slopes {
				if len(s.Samples) < minSizes || s.Unit == "" || s.SizeOf == "" || s.Role == "" {
					t.Errorf("%+v: want %d sizes, a unit, what is counted and a role", s, minSizes)
				}
				v, err := s.Judge()
				if err != nil { // a small run may be too short to measure it
					if !slices.ContainsFunc(s.Samples, func(p Sample) bool { return p.Value <= 0 }) || !strings.Contains(out.String(), s.Name) {
						t.Error(err)
					}
					continue
				}
				if v.Extrapolated && !strings.Contains(out.String(), "extrapolated from "+digits(v.Reached)) {
					t.Errorf("%s: %+v is not called extrapolated", s.Name, v)
				}
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
}
