package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/emulator/testbed"
)

// keyedFile is the format of the configuration of a node with durable keys. Its arguments are the addresses
// of the node and a server.
const keyedFile = `[node]
listen = [%q]
[keys]
durable = "keys.db"
[[service]]
name = "s"
[[service.route]]
pool = "p"
[[pool]]
name = "p"
servers = [%q]
[[pool.class]]
name = "credit"
repeat = "never"
aim = "10s"
deadline = "20s"
[pool.class.keys]
need = true
`

// TestKeysSurviveCrash kills the node between the execution of a request and its answer. After a restart the
// repeat of that request is not executed again, and the answer says that the request may have run. The repeat of a
// request that was answered before the crash gets the same answer.
func TestKeysSurviveCrash(t *testing.T) {
	held, release := make(chan struct{}), make(chan struct{})
	server := check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if string(body) == "held" {
			close(held)
			<-release
		}
		return emulator.Echo(c, r, body)
	})
	defer close(release)
	listen := check.UnusedAddr(t)
	file := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(keyedFile, listen, server.Addr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func() *testbed.Process {
		p := check.Must[*testbed.Process](t)(startServing(filepath.Dir(file), "node", file))
		awaitUp(t, listen)
		return p
	}
	credit := func(body string) (int, string, bool) { return postKeyed(t, "http://"+listen+"/credit/1", body) }
	first := run()
	if status, answer, _ := credit("soon"); status != 200 || answer != " soon" {
		t.Errorf("the first request was answered %d %q, want 200 soon", status, answer)
	}
	lostStatus := make(chan int, 1)
	go func() {
		status, _, _ := credit("held")
		lostStatus <- status
	}()
	<-held
	first.Kill()
	if status := <-lostStatus; status != 0 {
		t.Errorf("the killed process answered with status %d, want no answer", status)
	}
	second := run()
	defer second.Kill()
	var status int
	var answer string
	var replayed bool
	check.Eventually(t, "the restarted node has loaded the keys", func() bool { // 503 until then
		status, answer, replayed = credit("soon")
		return status != http.StatusServiceUnavailable
	})
	if status != 200 || answer != " soon" || !replayed {
		t.Errorf("repeat of an answered request: the answer is %d %q, replayed %v; want a replayed 200 soon", status, answer, replayed)
	}
	if status, _, replayed := credit("held"); status != 502 || !replayed {
		t.Errorf("repeat of a request that may have run: the answer is %d, replayed %v; want a replayed 502", status, replayed)
	}
	if got := server.Received.Load(); got != 2 {
		t.Errorf("the server executed %d requests of 2 keys, want 2", got)
	}
}

// postKeyed sends a request whose body is its key, and returns the answer and whether it is replayed. The
// status is 0 if the connection ended without an answer.
func postKeyed(t *testing.T, target, body string) (status int, answer string, replayed bool) {
	t.Helper()
	req := check.Must[*http.Request](t)(http.NewRequestWithContext(t.Context(), http.MethodPost, target, strings.NewReader(body)))
	req.Header.Set("Idempotency-Key", body)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer resp.Body.Close()
	text := check.Must[[]byte](t)(io.ReadAll(resp.Body))
	return resp.StatusCode, string(text), resp.Header.Get("Idempotent-Replayed") != ""
}
