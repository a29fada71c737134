package core

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"jasperpin/decide"
)

// TestFleetPositionExpires: a node has a quota of the requests that the fleet may send to a cold server, until a
// given time. It sends requests there before that time, and none afterwards, even without a further call of
// SetFleetPosition: the process may have been suspended, and other nodes may have taken over its quota.
func TestFleetPositionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := 0
		s := &scriptedUpstream{do: func(_ context.Context, _ int, addr string) (decide.Result, *Answer) {
			if addr == "cold:1" {
				cold++
			}
			// If answers took no time, the server that answered last would look fast, and the cold
			// server, after a pause, would look slow beside it permanently.
			time.Sleep(10 * time.Millisecond)
			return decide.OK, &Answer{StatusCode: 200}
		}}
		pool := NewPool(Settings{
			Balancer: decide.Settings{
				NodeCount: 1, MaxAttempts: 1, OverloadMultiple: 3, SlowStartShare: 0.2, SlowStartWindow: time.Hour,
				Classes: []decide.Class{{Idempotency: decide.Idempotent, LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
			},
			Seed: 1, Upstream: s, Log: slog.New(slog.DiscardHandler),
		})
		hosts := []Endpoint{{Name: "cold", Addr: "cold:1", State: decide.Ready, Capacity: 1, StartedAtMS: float64(time.Now().UnixMilli())}}
		for i := range 4 {
			name := fmt.Sprint("w", i)
			hosts = append(hosts, Endpoint{Name: name, Addr: name + ":1", State: decide.Ready, Capacity: 1})
		}
		pool.UpdateEndpoints(decide.UpdateFull, hosts)
		pool.SetFleetPosition(FleetPosition{Count: 2, Until: time.Now().Add(20 * time.Second)})
		sent := func(seconds int) int {
			was := cold
			for i := range seconds * 50 {
				x, err := submit(pool, fmt.Sprint(time.Now(), i), idempotent)
				if err != nil {
					t.Fatal(err)
				}
				<-x.Final()
				time.Sleep(20 * time.Millisecond)
			}
			return cold - was
		}
		if got := sent(20); got < 10 {
			t.Errorf("%d requests to a cold server with a quota, want at least 10", got)
		}
		if got := sent(20); got > 0 {
			t.Errorf("%d requests to a cold server after the quota had expired, want 0", got)
		}
		pool.SetFleetPosition(FleetPosition{Count: 2})
		if got := sent(20); got < 10 {
			t.Errorf("%d requests to a cold server with a quota again, want at least 10", got)
		}
		pool.Close()
	})
}
