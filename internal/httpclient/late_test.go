package httpclient

import (
	"net/http"
	"testing"
	"time"

	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// heldUp is a core.Sending whose node is held up between its look at the clock and the write, until
// its request's time is over.
type heldUp struct {
	until time.Time
	wrote bool
}

func (h *heldUp) Begin() (core.AttemptDeadlines, bool) {
	start := core.AttemptDeadlines{ClientDeadline: time.Now().Add(5 * time.Millisecond)}
	held := time.After(20 * time.Millisecond)
	<-held
	h.until = start.ClientDeadline
	return start, true
}
func (h *heldUp) StillValid() bool    { return time.Now().Before(h.until) }
func (h *heldUp) Wrote(time.Duration) { h.wrote = true }

// TestHeldUpNodeWritesNothingLate holds a node up between what it decided and what it writes: a request
// whose time has ended meanwhile never goes out whole, and is known not to have run.
func TestHeldUpNodeWritesNothingLate(t *testing.T) {
	s := check.Raw(t, emulator.Echo)
	p := upstream(t, 4)
	defer p.Close()
	m := &core.Message{Method: http.MethodGet, Target: "/look/1", Host: "h", Header: map[string][]string{"Req-Id": {"1"}}}
	for range 3 {
		late := &heldUp{}
		if result, _ := p.newServer().Send(t.Context(), s.Addr, m, late); !result.NeverRan() || late.wrote {
			t.Errorf("ended with %v, written whole: %v", result, late.wrote)
		}
	}
	if got := s.Got.Load(); got != 0 {
		t.Errorf("the server has read %d requests whole", got)
	}
}
