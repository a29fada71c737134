package httpclient

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/core"
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// slack is what the deadline told to a server may exceed what its client has left by.
const slack = 150 * time.Millisecond

// TestDeadlineToldIsWhatIsLeft has an attempt wait for its connection for most of its client's time:
// its server is told what is left as the request goes out.
func TestDeadlineToldIsWhatIsLeft(t *testing.T) {
	const limit, held = time.Second, 600 * time.Millisecond
	told := make(chan time.Duration, 1)
	s := check.Raw(t, func(c net.Conn, r *http.Request, body []byte) bool {
		ms, _ := strconv.Atoi(r.Header.Get("Req-Deadline-Ms"))
		told <- time.Duration(ms) * time.Millisecond
		return emulator.Echo(c, r, body)
	})
	room := check.Must[*ConnectionLimiter](t)(NewConnectionLimiter(1, map[string]int{"p": 1}))
	up := New(Options{Name: "p", DialTimeout: check.Soon, KeepAlive: time.Minute, MaxBody: core.MaxBody}, room)
	if err := room.take(t.Context(), up); err != nil { // the only place
		t.Fatal(err)
	}
	pool := core.NewPool(core.Settings{Upstream: up, Balancer: decide.Settings{
		NodeCount: 1, MaxAttempts: 1, Classes: []decide.Class{{LatencyObjective: limit, Deadline: limit, PriorityWeight: 1}},
	}})
	defer pool.Close()
	pool.UpdateEndpoints(decide.UpdateFull, []core.Endpoint{{Name: "s", Addr: s.Addr, State: decide.Ready, Capacity: 1}})
	came := time.Now()
	time.AfterFunc(held, func() { room.give(up) })
	q := &core.Request{ID: "1", ReceivedAt: came, Timeout: limit, Message: core.Message{Method: http.MethodGet, Target: "/a/k", Host: "h", Header: map[string][]string{}}}
	if _, err := pool.Arrive(q); err != nil {
		t.Fatal(err)
	}
	got := <-told
	if most := limit - held + slack; got > most {
		t.Errorf("the server was told %v, its client had %v left at the most", got, limit-held)
	}
}
