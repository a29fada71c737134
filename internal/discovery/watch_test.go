package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator/check"
)

// scriptedDiscovery is a discovery that answers its calls one after the other by its list of answers, and
// with the last of them from then on. It records the calls, and what the watcher applies.
type scriptedDiscovery struct {
	mu       sync.Mutex
	queries  []string    // of each call
	calledAt []time.Time // of each call
	updates  []decide.UpdateKind
	servers  map[string]bool // that were named
}

// watch runs a watcher of such a discovery, with one request to watch.
func watch(t *testing.T, answers ...http.HandlerFunc) *scriptedDiscovery {
	t.Helper()
	s := &scriptedDiscovery{servers: make(map[string]bool)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		answer := answers[min(len(s.queries), len(answers)-1)]
		s.queries, s.calledAt = append(s.queries, r.URL.RawQuery), append(s.calledAt, time.Now())
		s.mu.Unlock()
		answer(w, r)
	}))
	ctx, stop := context.WithCancel(context.Background())
	w := NewWatcher(strings.TrimPrefix(srv.URL, "http://"), 41, true, nil, slog.New(slog.DiscardHandler))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, func(kind decide.UpdateKind, hosts []core.Endpoint) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.updates = append(s.updates, kind)
			for _, h := range hosts {
				s.servers[h.Name] = true
			}
		})
	}()
	t.Cleanup(func() {
		stop()
		<-done
		srv.CloseClientConnections()
		srv.Close()
	})
	w.StartWatch()
	return s
}

// until waits for a condition on what was recorded.
func (s *scriptedDiscovery) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	check.Eventually(t, what, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return ok()
	})
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// list answers with one server, of a version, as a change or a whole list.
func list(seq int, whole bool, name string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"seq":%d,"whole":%t,"hosts":[{"host":%q,"dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}]}`, seq, whole, name)
	}
}

// trickles goes on with blanks, a byte at a time, and never pauses for long.
func trickles(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	for r.Context().Err() == nil {
		_, err := io.WriteString(w, " ")
		if rc.Flush() != nil || err != nil {
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestSilentWatchIsReopenedAtOnce: a watch falls silent. The next call is made at once, without a request, and
// the Balancer is notified of no failure. Two silent calls in a row are a failure.
func TestSilentWatchIsReopenedAtOnce(t *testing.T) {
	t.Parallel()
	s := watch(t, silent, list(42, true, "a"), silent)
	s.until(t, "the call after the silence, and its update", func() bool { return s.servers["a"] })
	s.until(t, "two silent calls and a failure", func() bool {
		return len(s.updates) > 0 && s.updates[len(s.updates)-1] == decide.UpdateFailed
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.updates[0] != decide.UpdateFull {
		t.Errorf("applied %v", s.updates)
	}
	if len(s.queries) != 4 {
		t.Errorf("%d calls, want one silent, one answered, two silent", len(s.queries))
	}
	if took := s.calledAt[1].Sub(s.calledAt[0]); took > watchWait+answerSlack+2*time.Second {
		t.Errorf("the watch was reopened after %v", took)
	}
}

// TestTricklingAnswerIsCut: an answer goes on for ever, with pauses too short to be silence. It is cut after
// the longest time for an answer, and what had come whole of it is applied.
func TestTricklingAnswerIsCut(t *testing.T) {
	t.Parallel()
	s := watch(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"seq":42,"whole":false,"hosts":[{"host":"first","dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}`)
		trickles(w, r)
	}, list(43, true, "b"))
	s.until(t, "the next call", func() bool { return s.servers["b"] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.servers["first"] {
		t.Error("the server that had come whole was not applied")
	}
	if took := s.calledAt[1].Sub(s.calledAt[0]); took > maxBodyTime+2*time.Second {
		t.Errorf("the next call came after %v", took)
	}
}

// TestOlderVersionCausesWholeList: a discovery counts anew, as one that lost its state does. Changes since the
// version that the node knows would not be all there are, so that the node asks for everything.
func TestOlderVersionCausesWholeList(t *testing.T) {
	t.Parallel()
	s := watch(t, list(3, false, "a"), list(4, true, "b"), silent)
	s.until(t, "three calls", func() bool { return len(s.queries) == 3 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, want := range []string{"after=41&", "after=0&", "after=4&"} {
		if !strings.HasPrefix(s.queries[i], want) {
			t.Errorf("call %d asked %q, want %s", i, s.queries[i], want)
		}
	}
}

// TestFailedCallIsRetriedWithoutOrder: a call fails, and the Balancer, which is notified, requests nothing for
// long. The next call is made all the same.
func TestFailedCallIsRetriedWithoutOrder(t *testing.T) {
	t.Parallel()
	refused := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, failing := range map[string][]http.HandlerFunc{
		"refused": {refused}, "reset": {reset}, "silent": {silent, silent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := watch(t, append(failing, list(42, true, "a"), silent)...)
			s.until(t, "the call after the failure, and its update", func() bool { return s.servers["a"] })
			s.mu.Lock()
			defer s.mu.Unlock()
			n := len(failing)
			if s.updates[0] != decide.UpdateFailed || s.updates[1] != decide.UpdateFull {
				t.Errorf("applied %v", s.updates)
			}
			if took := s.calledAt[n].Sub(s.calledAt[n-1]); took > maxCallInterval+2*time.Second { // 2 s for a busy machine
				t.Errorf("the next call began %v after the failed one", took)
			}
		})
	}
}
