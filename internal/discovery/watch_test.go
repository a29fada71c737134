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

// script is a discovery that answers its calls one after the other as told, and the last way
// from then on.
type script struct {
	mu    sync.Mutex
	calls []string // what each asked
	at    []time.Time
	tells []decide.UpdateKind
	heard map[string]bool
}

// begin runs a watcher of such a discovery, with one order to watch.
func begin(t *testing.T, answers ...http.HandlerFunc) *script {
	t.Helper()
	s := &script{heard: make(map[string]bool)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		answer := answers[min(len(s.calls), len(answers)-1)]
		s.calls, s.at = append(s.calls, r.URL.RawQuery), append(s.at, time.Now())
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
			s.tells = append(s.tells, kind)
			for _, h := range hosts {
				s.heard[h.Name] = true
			}
		})
	}()
	t.Cleanup(func() {
		stop()
		<-done
		srv.CloseClientConnections()
		srv.Close()
	})
	w.Order()
	return s
}

// until waits for something of the script's.
func (s *script) until(t *testing.T, what string, ok func() bool) {
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

// TestSilentWatchIsOpenedAnewAtOnce has a watch fall silent: the next call is made at once, with
// no order of the module's, who hears of no failure. Two in a row are one.
func TestSilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	t.Parallel()
	s := begin(t, silent, list(42, true, "a"), silent)
	s.until(t, "the call after the silence, and what it told", func() bool { return s.heard["a"] })
	s.until(t, "two silent calls and a failure", func() bool {
		return len(s.tells) > 0 && s.tells[len(s.tells)-1] == decide.UpdateFailed
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tells[0] != decide.UpdateFull {
		t.Errorf("told %v", s.tells)
	}
	if len(s.calls) != 4 {
		t.Errorf("%d calls, want one silent, one answered, two silent", len(s.calls))
	}
	if took := s.at[1].Sub(s.at[0]); took > watchWait+watchMargin+2*time.Second {
		t.Errorf("it was opened anew after %v", took)
	}
}

// TestTricklingAnswerEnds has an answer go on for ever, with pauses too short to be silence.
func TestTricklingAnswerEnds(t *testing.T) {
	t.Parallel()
	s := begin(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"seq":42,"whole":false,"hosts":[{"host":"first","dial":"127.0.0.1:1","site":"a","health":"in_service","share":1,"born_ms":0}`)
		trickles(w, r)
	}, list(43, true, "b"))
	s.until(t, "the next call", func() bool { return s.heard["b"] })
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heard["first"] {
		t.Error("what had come whole was not told")
	}
	if took := s.at[1].Sub(s.at[0]); took > bodyMost+2*time.Second {
		t.Errorf("the next call came after %v", took)
	}
}

// TestOlderVersionIsAskedForWhole has a discovery count anew, as one that lost its state does:
// changes after the version that the node knows would not be all that there are.
func TestOlderVersionIsAskedForWhole(t *testing.T) {
	t.Parallel()
	s := begin(t, list(3, false, "a"), list(4, true, "b"), silent)
	s.until(t, "three calls", func() bool { return len(s.calls) == 3 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, want := range []string{"after=41&", "after=0&", "after=4&"} {
		if !strings.HasPrefix(s.calls[i], want) {
			t.Errorf("call %d asked %q, want %s", i, s.calls[i], want)
		}
	}
}

// TestFailedCallIsMadeAgainWithoutOrder has the module, which is told of a failure, order nothing for long:
// the next call is made all the same.
func TestFailedCallIsMadeAgainWithoutOrder(t *testing.T) {
	t.Parallel()
	refused := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, failing := range map[string][]http.HandlerFunc{
		"refused": {refused}, "reset": {reset}, "silent": {silent, silent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := begin(t, append(failing, list(42, true, "a"), silent)...)
			s.until(t, "the call after the failure, and what it told", func() bool { return s.heard["a"] })
			s.mu.Lock()
			defer s.mu.Unlock()
			n := len(failing)
			if s.tells[0] != decide.UpdateFailed || s.tells[1] != decide.UpdateFull {
				t.Errorf("told %v", s.tells)
			}
			if took := s.at[n].Sub(s.at[n-1]); took > longestApart+2*time.Second { // a busy machine aside
				t.Errorf("the next call began %v after the failed one", took)
			}
		})
	}
}
