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

// nodeEnv has this program be a node by the file that is its argument, and no test.
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

// startNode starts this program as a node.
func startNode(dir, name, file string) (*testbed.Process, error) {
	return testbed.Program{Path: os.Args[0], Env: []string{nodeEnv + "=1"}, Says: true}.Start(dir, name, file)
}

// beside are the trials whose figures another one does not touch: they are not of this process.
var beside = map[string]bool{"file": true, "members": true, "requests": true}

// TestTrials plays each trial at small sizes: each finds slopes that can be judged, and says of what lies
// past the largest size that it is extrapolated.
func TestTrials(t *testing.T) {
	for _, trial := range Trials {
		t.Run(trial.Name, func(t *testing.T) {
			if beside[trial.Name] {
				t.Parallel()
			}
			var out bytes.Buffer
			found, err := trial.Run(context.Background(), Options{Deployment: Stated, Small: true, Dir: t.TempDir(), Node: startNode, Log: io.Discard}, &out)
			if err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
			if len(found.Slopes) == 0 {
				t.Error("no slope was found")
			}
			for _, s := range found.Slopes {
				if len(s.Samples) < leastSizes || s.Unit == "" || s.By == "" || s.Role == "" {
					t.Errorf("%+v: want %d sizes, a unit, what counts, and whose it is", s, leastSizes)
				}
				v, err := s.Judge()
				if err != nil { // which so little time may not show
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
