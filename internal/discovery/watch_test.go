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

// scriptedDiscovery is a discovery service that answers its calls with a list of answers in order, and then repeats
// the last one. It records the calls and the updates that the watcher applies.
type scriptedDiscovery struct {
	mu       sync.Mutex
	queries  []string    // query of each call
	calledAt []time.Time // time of each call
	updates  []decide.UpdateKind
	servers  map[string]bool // names of all servers in the updates
}

// watch runs a watcher of a scriptedDiscovery, with one request to watch.
func watch(t *testing.T, answers ...http.HandlerFunc) *scriptedDiscovery {
	t.Helper()
	scripted := &scriptedDiscovery{servers: make(map[string]bool)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scripted.mu.Lock()
		answer := answers[min(len(scripted.queries), len(answers)-1)]
		scripted.queries, scripted.calledAt = append(scripted.queries, r.URL.RawQuery), append(scripted.calledAt, time.Now())
		scripted.mu.Unlock()
		answer(w, r)
	}))
	ctx, stop := context.WithCancel(context.Background())
	w := NewWatcher(strings.TrimPrefix(srv.URL, "http://"), 41, true, nil, slog.New(slog.DiscardHandler))
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx, func(kind decide.UpdateKind, hosts []core.Endpoint) {
			scripted.mu.Lock()
			defer scripted.mu.Unlock()
			scripted.updates = append(scripted.updates, kind)
			for _, h := range hosts {
				scripted.servers[h.Name] = true
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
	return scripted
}

// until waits for a condition on the recorded calls and updates.
func (s *scriptedDiscovery) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	check.Eventually(t, what, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return ok()
	})
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// list answers with one server and a version, as a change or a complete list.
func list(seq int, whole bool, name string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"seq":%d,"whole":%t,"hosts":[{"host":%q,"dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}]}`, seq, whole, name)
	}
}

// trickles sends blanks, one byte at a time and without a long pause, until the call ends.
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

// TestSilentWatchIsReopenedAtOnce: a watch becomes silent. The next call is made at once, without a request, and
// the Balancer is not notified of a failure. Two silent calls in a row are a failure.
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
		t.Errorf("applied updates %v, want a complete list first", s.updates)
	}
	if len(s.queries) != 4 {
		t.Errorf("the node made %d calls, want 4: one silent, one answered, two silent", len(s.queries))
	}
	if took := s.calledAt[1].Sub(s.calledAt[0]); took > watchWait+answerGrace+2*time.Second {
		t.Errorf("the watch was reopened after %v, want at most 2s after watchWait and answerGrace", took)
	}
}

// TestTricklingAnswerIsAborted: an answer never ends, with pauses too short to count as silence. It is aborted
// after maxBodyTime, and the servers received completely until then are applied.
func TestTricklingAnswerIsAborted(t *testing.T) {
	t.Parallel()
	s := watch(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"seq":42,"whole":false,"hosts":[{"host":"first","dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}`)
		trickles(w, r)
	}, list(43, true, "b"))
	s.until(t, "the next call", func() bool { return s.servers["b"] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.servers["first"] {
		t.Error("the server that was received completely was not applied")
	}
	if took := s.calledAt[1].Sub(s.calledAt[0]); took > maxBodyTime+2*time.Second {
		t.Errorf("the next call was made after %v, want at most 2s after maxBodyTime", took)
	}
}

// TestOlderVersionCausesCompleteList: a discovery service restarts its versions, as it does after losing its state.
// The changes since the version that the node knows would not be complete, so the node requests a complete list.
func TestOlderVersionCausesCompleteList(t *testing.T) {
	t.Parallel()
	s := watch(t, list(3, false, "a"), list(4, true, "b"), silent)
	s.until(t, "three calls", func() bool { return len(s.queries) == 3 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, want := range []string{"after=41&", "after=0&", "after=4&"} {
		if !strings.HasPrefix(s.queries[i], want) {
			t.Errorf("call %d has query %q, want prefix %s", i, s.queries[i], want)
		}
	}
}

// TestFailedCallIsRetriedWithoutRequest: a call fails, and the Balancer, which is notified, requests no call for a
// long time. The next call is made nevertheless.
func TestFailedCallIsRetriedWithoutRequest(t *testing.T) {
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
				t.Errorf("applied updates %v, want a failure and then a complete list", s.updates)
			}
			if took := s.calledAt[n].Sub(s.calledAt[n-1]); took > maxCallInterval+2*time.Second { // 2 s for a busy machine
				t.Errorf("the next call began %v after the failed one, want at most maxCallInterval and 2s", took)
			}
		})
	}
}
