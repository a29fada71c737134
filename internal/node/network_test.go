package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// TestFaultyNetwork puts a faulty network between the node and its server: a request that must not run
// twice gets one answer within its deadline, and runs at most once.
func TestFaultyNetwork(t *testing.T) {
	for name, fault := range map[string]emulator.Fault{
		"black hole": {BlackHole: true}, "half open": {HalfOpen: true}, "slow": {Delay: 50 * time.Millisecond}, "throttled": {Throttle: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServer(t, emulator.ServerSettings{Cores: 8})
			proxy := check.StartForTest(t, func() (*emulator.Proxy, error) { return emulator.NewProxy(server.Addr) })
			n := startServices(t, serviceText("orders", "")+poolText("orders", "", proxy.Addr))
			credit := func(id string) int {
				began := time.Now()
				status, _, _ := n.roundTripOnce(forHost("orders", strings.Replace(postRequest("credit", id, "", "x"), "20000", "1500", 1)))
				if took := time.Since(began); took > 5*time.Second {
					t.Errorf("request %s was answered after %v, want at most 5 s", id, took)
				}
				return status
			}
			if status := credit("before"); status != 200 {
				t.Fatalf("before the fault the answer is %d, want 200", status)
			}
			proxy.Set(fault)
			for i := range 3 {
				status := credit(fmt.Sprint("during", i))
				if broken := fault.BlackHole || fault.HalfOpen; status == 200 && broken || status != 200 && status != http.StatusBadGateway && status != http.StatusServiceUnavailable {
					t.Errorf("during the fault the answer is %d, want 502 or 503, or 200 if the fault lets answers through", status)
				}
			}
			proxy.Set(emulator.Fault{})
			proxy.ResetConnections()
			id := 0
			check.Eventually(t, "the node serves again", func() bool {
				id++
				return credit(fmt.Sprint("after", id)) == 200
			})
			ran := make(map[string]int)
			server.AddExecutions(ran)
			for id, times := range ran {
				if times != 1 {
					t.Errorf("request %s ran %d times, want once", id, times)
				}
			}
		})
	}
}
