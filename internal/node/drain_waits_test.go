package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"jasperpin/internal/emulator/check"
)

// TestDrainAnswersWaitingRequests guards against requests without an answer at SIGTERM: they wait for admission, or a
// repeat waits for the first request of its key, while a long answer that does not end holds the slot or the key. Each
// gets an answer before the process ends: 503 if nothing of it has run, 504 if the first request may have.
func TestDrainAnswersWaitingRequests(t *testing.T) {
	look := func(id string) string { return forHost("orders", lookRequest(id)) }
	credit := func(id string) string { return forHost("orders", keyedRequest(id, "k", "x")) }
	queued := func(service, pool string) func(server string) string {
		return func(server string) string {
			return serviceText("orders", service) + poolText("orders", pool, server)
		}
	}
	for name, testCase := range map[string]struct {
		file    func(server string) string
		request func(id string) string
		want    string
	}{
		"the service's queue":           {queued(oneSlotAndQueue, ""), look, "503 "},
		"the pool's queue":              {queued("", oneSlotAndQueue), look, "503 "},
		"the first request under a key": {func(server string) string { return keyedFileText(server) }, credit, "504 "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := check.ScriptedServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("a", 100<<10))
				select {}
			})
			n := startServices(t, testCase.file(server.Addr))
			first := n.dial()
			writeString(t, first, testCase.request("first"))
			if _, err := io.ReadFull(first, make([]byte, 64<<10)); err != nil {
				t.Fatal(err)
			}
			waiting := n.exchangeAsync(testCase.request("waiting"))
			n.awaitOpenRequests(2)
			n.term()
			if got := <-waiting; got != testCase.want {
				t.Errorf("the waiting request got %q, want %q", got, testCase.want)
			}
			if got := server.Received.Load(); got != 1 {
				t.Errorf("%d requests reached the server, want the first one only", got)
			}
		})
	}
}
