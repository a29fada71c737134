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

// entries returns n servers in discovery's format, starting with s-from.
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

const listHead, listEnd = `{"seq":7,"whole":true,"hosts":[`, `]}`

// recordedAnswer is a streamedAnswer that records when each of its servers was applied.
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

// TestUninterruptedListIsAppliedOnce: a list of thousands of servers arrives without a pause. No server is applied
// before the complete list, whatever the size of the reads.
func TestUninterruptedListIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := recordAnswer(strings.NewReader(listHead + entries(0, 3200) + listEnd))
		l, err := decodeList(a, nil, a.add)
		if err != nil || len(l.Endpoints) != 3200 {
			t.Fatalf("decoded %d servers, error %v, want 3200 servers", len(l.Endpoints), err)
		}
		if a.flushes != 0 {
			t.Errorf("%d batches were applied before the complete list", a.flushes)
		}
	})
}

// TestPartOfInterruptedListIsAppliedSoon: an answer stops or trickles, and its connection breaks in the end. Each
// server that was received completely is applied within 50 ms, and none is lost.
func TestPartOfInterruptedListIsAppliedSoon(t *testing.T) {
	const soon = 50 * time.Millisecond
	errBroken := errors.New("broken")
	for name, pause := range map[string]time.Duration{"stops": time.Second, "trickles": 8 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, w := io.Pipe()
				const parts, of = 30, 10
				sentAt := make(map[string]time.Time)
				go func() {
					_, _ = io.WriteString(w, listHead)
					for i := range parts {
						for n := range of {
							sentAt[fmt.Sprintf("s-%d", i*of+n)] = time.Now()
						}
						_, _ = io.WriteString(w, entries(i*of, of))
						time.Sleep(pause)
					}
					w.CloseWithError(errBroken)
				}()
				a := recordAnswer(r)
				if _, err := decodeList(a, nil, a.add); !errors.Is(err, errBroken) {
					t.Fatalf("decoding ended with error %v, want %v", err, errBroken)
				}
				a.flush()
				for name, at := range sentAt {
					if applied, ok := a.appliedAt[name]; !ok || applied.Sub(at) > soon {
						t.Errorf("%s was applied after %v (applied: %t), want at most 50ms", name, applied.Sub(at), ok)
					}
				}
			})
		})
	}
}
