package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/internal/core"
)

// entries are n servers, s-from and on, as discovery writes them.
func entries(from, n int) string {
	var b strings.Builder
	for i := range n {
		if from+i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"host":"s-%d","dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}`, from+i)
	}
	return b.String()
}

const head, end = `{"seq":7,"whole":true,"hosts":[`, `]}`

// recordedAnswer is an answer that is read, with when each of its servers was passed on.
type recordedAnswer struct {
	*streamedAnswer
	appliedAt map[string]time.Time
}

func recordAnswer(body io.Reader) *recordedAnswer {
	t := &recordedAnswer{appliedAt: make(map[string]time.Time)}
	t.streamedAnswer = newStreamedAnswer(context.Background(), body, func() {}, func(hosts []core.Endpoint) {
		for _, h := range hosts {
			t.appliedAt[h.Name] = time.Now()
		}
	})
	return t
}

// TestUninterruptedListIsAppliedOnce: thousands of servers come without a pause. None of them is passed on
// ahead of the whole list, whatever the size of the reads.
func TestUninterruptedListIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := recordAnswer(strings.NewReader(head + entries(0, 3200) + end))
		l, err := decodeList(a, nil, a.add)
		if err != nil || len(l.Endpoints) != 3200 {
			t.Fatalf("%d servers: %v", len(l.Endpoints), err)
		}
		if a.flushes != 0 {
			t.Errorf("%d batches were passed on ahead of the whole list", a.flushes)
		}
	})
}

// TestPartOfInterruptedListIsAppliedSoon: an answer stops or trickles, and breaks in the end. Each server that
// came whole is passed on within 50 ms, and none is lost.
func TestPartOfInterruptedListIsAppliedSoon(t *testing.T) {
	const soon = 50 * time.Millisecond
	errBroken := errors.New("broken")
	for name, pause := range map[string]time.Duration{"stops": time.Second, "trickles": 8 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, w := io.Pipe()
				const parts, of = 30, 10
				came := make(map[string]time.Time)
				go func() {
					_, _ = io.WriteString(w, head)
					for i := range parts {
						for n := range of {
							came[fmt.Sprintf("s-%d", i*of+n)] = time.Now()
						}
						_, _ = io.WriteString(w, entries(i*of, of))
						time.Sleep(pause)
					}
					w.CloseWithError(errBroken)
				}()
				a := recordAnswer(r)
				if _, err := decodeList(a, nil, a.add); !errors.Is(err, errBroken) {
					t.Fatalf("ended with %v, want %v", err, errBroken)
				}
				a.flush()
				for name, at := range came {
					if applied, ok := a.appliedAt[name]; !ok || applied.Sub(at) > soon {
						t.Errorf("%s was passed on after %v (%t)", name, applied.Sub(at), ok)
					}
				}
			})
		})
	}
}
