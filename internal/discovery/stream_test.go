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

// entries are so many servers, as discovery writes them.
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

// telling is an answer that is read, with when each of its servers was told.
type telling struct {
	*answer
	told map[string]time.Time
}

func tellings(body io.Reader) *telling {
	t := &telling{told: make(map[string]time.Time)}
	t.answer = newAnswer(context.Background(), body, func() {}, func(hosts []core.Endpoint) {
		for _, h := range hosts {
			t.told[h.Name] = time.Now()
		}
	})
	return t
}

// TestListThatComesAtOnceIsToldOnce has thousands of servers come without a pause: none of them is told
// ahead of the whole, whatever the size of the reads.
func TestListThatComesAtOnceIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := tellings(strings.NewReader(head + entries(0, 3200) + end))
		l, err := decodeList(a, nil, a.add)
		if err != nil || len(l.Endpoints) != 3200 {
			t.Fatalf("%d servers: %v", len(l.Endpoints), err)
		}
		if a.tells != 0 {
			t.Errorf("it was told in %d pieces ahead of the whole", a.tells)
		}
	})
}

// TestWhatCameIsToldSoon has an answer stop, trickle, and break: what had come whole is told within 50 ms
// of its coming, and nothing is lost of it.
func TestWhatCameIsToldSoon(t *testing.T) {
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
				a := tellings(r)
				if _, err := decodeList(a, nil, a.add); !errors.Is(err, errBroken) {
					t.Fatalf("it ended with %v", err)
				}
				a.flush()
				for name, at := range came {
					if told, ok := a.told[name]; !ok || told.Sub(at) > soon {
						t.Errorf("%s was told after %v (%t)", name, told.Sub(at), ok)
					}
				}
			})
		})
	}
}
