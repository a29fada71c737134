package node

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
)

// TestDrainUnderLoad sends SIGTERM while a server delays its answers and more requests arrive on new
// connections: all are answered, and the node stops.
func TestDrainUnderLoad(t *testing.T) {
	const each = 16
	release := make(chan struct{})
	server := check.ScriptedServer(t, holdUntil(release, ""))
	n := startNode(t, nil, server.Addr)
	answers := make(chan string, 2*each)
	send := func(id string) {
		status, body, h := n.roundTripOnce(lookRequest(id))
		answers <- fmt.Sprintf("%d %v %s", status, body == id+" ", h.Get("Connection"))
	}
	for i := range each {
		go send(fmt.Sprint("before", i))
	}
	check.Eventually(t, "the requests reached the server", func() bool { return server.Received.Load() == each })
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	for i := range each {
		go send(fmt.Sprint("after", i))
	}
	check.Eventually(t, "new connections are accepted", func() bool { return server.Received.Load() == 2*each })
	close(release)
	for range 2 * each {
		if got := <-answers; got != "200 true close" {
			t.Errorf("the answer is %q, want 200 true close", got)
		}
	}
	n.awaitEnd()
}

// TestDrainClosesSilentConnections drains while some connections have sent nothing or only a part of a
// head: they are closed long before the timeout of a head, and a client that continues to write is
// answered.
func TestDrainClosesSilentConnections(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	slow, text := n.dial(), lookRequest("slow")
	silent := []net.Conn{n.dial(), n.dial()}
	began := time.Now()
	if _, err := io.WriteString(silent[1], text[:20]); err != nil {
		t.Fatal(err)
	}
	n.term()
	closed := make(chan time.Duration, len(silent))
	for _, c := range silent {
		go func() {
			_, _ = io.Copy(io.Discard, c)
			closed <- time.Since(began)
		}()
	}
	writeSlowly(t, slow, text, func() {})
	for range silent {
		if took := <-closed; took > 2*time.Second {
			t.Errorf("a silent connection was open for %v, want at most 2 s", took)
		}
	}
}

// TestDrainAnswersOpenRequests sends SIGTERM with attempts in flight whose clients would wait longer
// than the process may live. The node itself answers each client before it stops, and does not reject
// a request that may have run.
func TestDrainAnswersOpenRequests(t *testing.T) {
	s := check.ScriptedServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	n := startNode(t, nil, s.Addr)
	want := map[string]string{lookRequest("l"): "503", postRequest("credit", "c", "", "x"): "502"}
	type got struct {
		text, status string
	}
	answers := make(chan got, len(want))
	for text := range want {
		go func() {
			status, _, _ := strings.Cut(strings.TrimPrefix(n.exchange(text), "HTTP/1.1 "), " ")
			answers <- got{text, status}
		}()
	}
	check.Eventually(t, "the requests reached the server", func() bool { return int(s.Received.Load()) == len(want) })
	n.term()
	for range want {
		if a := <-answers; a.status != want[a.text] {
			t.Errorf("the answer has status %q, want %s; its text is %q", a.status, want[a.text], a.text)
		}
	}
	n.awaitEnd()
}

// TestDrainAnswersLateRequests drains nodes while clients complete their requests shortly before the
// drain ends, with heads or bodies in pieces, half of them on connections that were served before. A
// client that has written a complete request gets one complete answer. The others get an answer or a
// clear end of the connection; some pause for so long that their connections are closed earlier.
func TestDrainAnswersLateRequests(t *testing.T) {
	const clients = 40
	s := check.ScriptedServer(t, emulator.Echo)
	for round, longest := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, time.Second, 300 * time.Millisecond} {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			n := startNode(t, withDeadline(longest), s.Addr)
			random := rand.New(rand.NewPCG(uint64(round), 1))
			last := longest + answerMargin
			results := make(chan string, clients)
			var firstPieces sync.WaitGroup // one piece from each client: a connection that has sent none may be closed
			var conns []net.Conn
			for i := range clients {
				c := n.dial()
				if i%4 >= 2 {
					if status, _, _ := n.roundTrip(c, bufio.NewReader(c), lookRequest(fmt.Sprint(round, "-first-", i))); status != 200 {
						t.Fatalf("the answer to a connection's first request is %d, want 200", status)
					}
				}
				conns = append(conns, c)
			}
			began := time.Now()
			for i, c := range conns {
				text := lookRequest(fmt.Sprint(round, "-", i))
				if i%2 == 1 {
					text = postRequest("order", fmt.Sprint(round, "-", i), fmt.Sprintf("Idempotency-Key: %d-%d\r\n", round, i), strings.Repeat("b", 400))
				}
				at, cut := last-150*time.Millisecond+time.Duration(random.Int64N(int64(350*time.Millisecond))), 1+random.IntN(len(text)-1)
				firstPieces.Add(1)
				go func() { results <- runLateClient(c, text, cut, began, at, firstPieces.Done) }()
			}
			firstPieces.Wait()
			n.term()
			count := make(map[string]int)
			for range clients {
				count[<-results]++
			}
			n.awaitEnd()
			t.Log(count)
			if count["lost"] > 0 || count["incomplete"] > 0 {
				t.Errorf("the requests have the results %v, want none lost or incomplete", count)
			}
			if count["200"]+count["503"] == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// TestDrainReadsPartialHead drains with two keep-alive connections, on one of which a part of the next
// request has arrived: that request is answered once complete, and the idle connection is closed.
func TestDrainReadsPartialHead(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	partial, br := n.dialServed()
	idle, _ := n.dialServed()
	text := lookRequest("half")
	writeString(t, partial, text[:20])
	began := time.Now()
	n.term()
	if _, err := io.Copy(io.Discard, idle); err != nil {
		t.Errorf("reading from the idle connection returned %v", err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("the idle connection was closed after %v, want at most 3 s", took)
	}
	if status, body, h := n.roundTrip(partial, br, text[20:]); status != 200 || body != "half " || h.Get("Connection") != "close" {
		t.Errorf("the answer is %d with body %q and header %v, want 200, body half and Connection: close", status, body, h)
	}
	n.awaitEnd()
}

// TestDrainEmptiesAcceptQueue drains while clients that have written complete requests wait in the
// accept queue, because all client connections are in use: they are accepted before the listener
// closes, and served or rejected.
func TestDrainEmptiesAcceptQueue(t *testing.T) {
	const queued = 5
	n, _, release := startFullNode(t)
	var waiting []net.Conn
	for i := range queued {
		c := n.dial()
		writeString(t, c, lookRequest(fmt.Sprint("queued", i)))
		waiting = append(waiting, c)
	}
	n.term()
	// Wait past the grace period, after which a listener without new connections would have closed.
	early := time.After(acceptGrace + 3*acceptIdle)
	check.Eventually(t, "the grace period for new connections is over", func() bool {
		select {
		case <-early:
			return true
		default:
			return false
		}
	})
	close(release)
	for i, c := range waiting {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("queued client %d got response %v and error %v, want 200 or 503", i, resp, err)
		}
	}
	n.awaitEnd()
}

// TestDrainWithShortDeadlines drains with deadlines so short that the drain ends while clients still
// connect: an incomplete request gets an error and not only a closed connection.
func TestDrainWithShortDeadlines(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, withDeadline(100*time.Millisecond), s.Addr)
	slow := n.dial()
	n.term()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // connections that send nothing, for as long as any is accepted
		for {
			c, err := net.Dial("tcp", n.addr)
			if err != nil {
				return
			}
			defer c.Close()
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	go func() { // a client that never completes its head
		for piece := lookRequest("slow"); len(piece) > 1; piece = piece[1:] {
			if _, err := io.WriteString(slow, piece[:1]); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("an incomplete request got response %v and error %v, want 503", resp, err)
	}
	n.awaitEnd()
}

// withDeadline sets the deadline and the latency objective of all classes.
func withDeadline(longest time.Duration) func(map[string]any) {
	return func(raw map[string]any) {
		for _, c := range raw["settings"].(map[string]any)["classes"].([]map[string]any) {
			c["deadlineMs"], c["objectiveMs"] = longest.Milliseconds(), longest.Milliseconds()
		}
	}
}

// TestDrainEndsEndlessAnswer drains while an answer that never ends is streamed: the client
// detects that the answer is incomplete.
func TestDrainEndsEndlessAnswer(t *testing.T) {
	s := check.ScriptedServer(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("a", 100<<10))
		select {}
	})
	n := startNode(t, withDeadline(300*time.Millisecond), s.Addr)
	c := n.dial()
	writeString(t, c, lookRequest("long"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	n.term()
	if got, err := io.Copy(io.Discard, resp.Body); err == nil || got >= 1<<20 {
		t.Errorf("%d bytes of the answer were read, want an incomplete answer and an error", got)
	}
	n.awaitEnd()
}

// TestDrainWithRetiredPool drains while a pool that a reload has replaced has an open request, and
// discovery has never answered: the request is still answered in time.
func TestDrainWithRetiredPool(t *testing.T) {
	silent := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0")) // accepts no connection
	defer silent.Close()
	s := check.ScriptedServer(t, func(net.Conn, *http.Request, []byte) bool { select {} })
	n := startNode(t, combine(withAdmin, func(raw map[string]any) { raw["discovery"] = silent.Addr().String() }), s.Addr)
	retired := n.exchangeAsync(postRequest("credit", "was", "", "x"))
	check.Eventually(t, "the request reached the server", func() bool { return s.Received.Load() == 1 })
	n.classes()[2]["objectiveMs"] = 19000
	n.reloadSettings()
	current := n.exchangeAsync(lookRequest("is"))
	check.Eventually(t, "the next request reached the server", func() bool { return s.Received.Load() == 2 })
	n.term()
	if retired, current := <-retired, <-current; retired != "502 " || current != "503 " {
		t.Errorf("the retired pool answered %q, want \"502 \"; the current pool answered %q, want \"503 \"", retired, current)
	}
	n.awaitEnd()
}

// runLateClient writes a request in pieces, the last at the time at after began, and returns its
// result: a status, "cut" if the connection ended before the last piece was written, "lost" if it ended
// after that, or "incomplete" if the answer was cut short.
func runLateClient(conn net.Conn, text string, cut int, began time.Time, at time.Duration, firstPieceWritten func()) string {
	piece := max(1, cut/8)
	for from := 0; from < cut; from += piece {
		_, err := io.WriteString(conn, text[from:min(from+piece, cut)])
		if from == 0 {
			firstPieceWritten()
		}
		if err != nil {
			return "cut"
		}
		time.Sleep(at / 9)
	}
	early := make(chan struct{}) // closed once the answer begins or the connection ends
	br := bufio.NewReader(conn)
	go func() {
		_, _ = br.Peek(1)
		close(early)
	}()
	select {
	case <-early:
	case <-time.After(time.Until(began.Add(at))):
		if _, err := io.WriteString(conn, text[cut:]); err == nil {
			cut = len(text)
		}
		<-early
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		if cut == len(text) {
			return "lost"
		}
		return "cut"
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return "incomplete"
	}
	return fmt.Sprint(resp.StatusCode)
}
