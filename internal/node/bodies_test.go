package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"jasperpin/internal/limit"
)

// patternText returns a body of n bytes in which the content depends on the position.
func patternText(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:n]
}

// chunkedRequest returns a request whose body is in chunks with an extension, with a trailer.
func chunkedRequest(class, id, headers, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s/k HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: 20000\r\n%stransfer-encoding: Chunked\r\n\r\n", class, id, headers)
	for len(body) > 0 {
		n := min(len(body), 5000)
		fmt.Fprintf(&b, "%x;by=\"five\"\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\nSum: 1\r\n\r\n")
	return b.String()
}

// echoChunked answers like emulator.Echo, in chunks and after a 1xx response.
func echoChunked(c net.Conn, r *http.Request, body []byte) bool {
	text := r.Header.Get("Req-Id") + " " + string(body)
	_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for len(text) > 0 {
		n := min(len(text), 30000)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, text[:n]); err != nil {
			return false
		}
		text = text[n:]
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// TestBodiesOfAllLengths sends bodies with lengths around every limit, in both directions and with
// either framing, several on one connection: each arrives unchanged.
func TestBodiesOfAllLengths(t *testing.T) {
	for name, reply := range map[string]emulator.Responder{"Content-Length": emulator.Echo, "chunked": echoChunked} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := check.ScriptedServer(t, reply)
			n := startNode(t, nil, s.Addr)
			c := n.dial()
			br := bufio.NewReader(c)
			for i, size := range []int{1, limit.MaxGuaranteedBody - 1, limit.MaxGuaranteedBody, limit.MaxGuaranteedBody + 1, 300_000, limit.MaxHeldBody, limit.MaxHeldBody + 1, 5 << 20, 2} {
				body := patternText(size)
				for j, text := range []string{postRequest("credit", fmt.Sprint("l", i), "", body), chunkedRequest("credit", fmt.Sprint("c", i), "", body)} {
					id := fmt.Sprint("lc"[j:j+1], i)
					status, got, _ := n.roundTrip(c, br, text)
					if status != 200 || got != id+" "+body {
						t.Fatalf("%d bytes, %s: the answer is %d with %d bytes, want 200 with the ID and the body", size, id, status, len(got))
					}
				}
			}
		})
	}
}

// TestManyLongBodies sends more long bodies at a time than the memory for bodies holds: those that
// cannot be buffered are streamed to a server, and all arrive.
func TestManyLongBodies(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, func(raw map[string]any) { raw["limits"].(map[string]any)["memory_mb"] = 32 }, s.Addr)
	body := patternText(900_000)
	done := make(chan error, 40)
	for i := range cap(done) {
		go func() {
			// A streamed request has a single attempt, and its connection may open too slowly
			// among so many attempts. A rejected request has not run and may be repeated.
			id, status, got := "", 503, ""
			for try := 0; status == 503 && try < 5; try++ {
				id = fmt.Sprintf("m%d-%d", i, try)
				status, got, _ = n.roundTripOnce(postRequest("credit", id, "", body))
			}
			if status != 200 || got != id+" "+body {
				done <- fmt.Errorf("%s: the answer is %d with %d bytes, want 200 with the ID and the body", id, status, len(got))
				return
			}
			done <- nil
		}()
	}
	for range cap(done) {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// TestIncompleteAnswer makes a server close its connection within a long answer. The client detects that
// the answer is incomplete, and no other server gets the request.
func TestIncompleteAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"Content-Length": "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + patternText(200_000),
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + patternText(200_000) + "\r\n",
		"bad chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + patternText(200_000) + "\r\nzz\r\n",
	} {
		server := check.ScriptedServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
			emulator.Respond(answer)(c, r, body)
			return false
		})
		n := startNode(t, nil, server.Addr)
		c := n.dial()
		if _, err := io.WriteString(c, lookRequest("r")); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: the request failed with error %v, want a response", name, err)
		}
		got, err := io.ReadAll(resp.Body)
		if !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != patternText(200_000) {
			t.Errorf("%s: the body has %d bytes and ends with error %v, want 200,000 bytes of the pattern and an unexpected EOF", name, len(got), err)
		}
		if received := server.Received.Load(); received != 1 {
			t.Errorf("%s: the server got %d requests, want 1", name, received)
		}
	}
}

// TestTooLongAnswerIsRejected makes a server send an answer that is longer than allowed: the client
// gets an error.
func TestTooLongAnswerIsRejected(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"+patternText(100_000)))
	n := startNode(t, nil, s.Addr)
	if status, _, _ := n.roundTripOnce(postRequest("credit", "r", "", "x")); status != 502 {
		t.Errorf("a request whose answer has 3 GB was answered %d, want 502", status)
	}
}

// TestBufferedBodyIsRetried makes a server decline a request. If its body was buffered, the request is sent
// to another server; if it was streamed, the request is rejected.
func TestBufferedBodyIsRetried(t *testing.T) {
	var declined atomic.Int64
	reply := func(c net.Conn, r *http.Request, body []byte) bool {
		if declined.Add(1) == 1 {
			return emulator.Respond("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(c, r, body)
		}
		return emulator.Echo(c, r, body)
	}
	a, b := check.ScriptedServer(t, reply), check.ScriptedServer(t, reply)
	n := startNode(t, nil, a.Addr, b.Addr)
	body := patternText(300_000)
	if status, got, _ := n.roundTripOnce(postRequest("credit", "r", "", body)); status != 200 || got != "r "+body || declined.Load() != 2 {
		t.Errorf("the buffered request was answered %d with %d bytes, and %d attempts were declined; want 200 with the body after 2", status, len(got), declined.Load())
	}
	declined.Store(0)
	if status, _, _ := n.roundTripOnce(postRequest("credit", "q", "", patternText(2<<20))); status != 503 || declined.Load() != 1 {
		t.Errorf("the streamed request was answered %d, and %d attempts were declined; want 503 after 1", status, declined.Load())
	}
}

// TestServerDeclinesBeforeBody makes a server decline a request with a long body after its head: the
// client, which is still writing, gets the rejection.
func TestServerDeclinesBeforeBody(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
					<-ended // without reading the body
				}
			}()
		}
	}()
	n := startNode(t, nil, ln.Addr().String())
	text := postRequest("credit", "r", "", strings.Repeat("x", 16<<20)) // before dialing: the head is due soon after that
	c := n.dial()
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || !resp.Close {
		t.Errorf("the answer is %d with close %v, want 503 and a closed connection", resp.StatusCode, resp.Close)
	}
}

// TestStalledUpload makes a client stop within a long body: the node closes the connection, and the
// part of the body that was sent is never read as a request of its own.
func TestStalledUpload(t *testing.T) {
	s := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, s.Addr)
	text := postRequest("credit", "r", "", patternText(4<<20))
	got := n.exchange(text[:2<<20])
	if strings.Contains(got, "200") {
		t.Errorf("the answer is %q, want none with status 200", got)
	}
	if received := s.Received.Load(); received != 0 {
		t.Errorf("%d complete requests reached the server, want none", received)
	}
}

// TestBodyLimitOfPool gives pools their own limits for bodies, below and above the default: each limit
// applies in both directions and to either framing.
func TestBodyLimitOfPool(t *testing.T) {
	t.Parallel()
	s := check.ScriptedServer(t, emulator.Echo)
	n := startServices(t, serviceText("short", "")+serviceText("long", "")+poolText("short", `body = "2MB"`, s.Addr)+poolText("long", `body = "40MB"`, s.Addr))
	for _, c := range []struct {
		service string
		size    int
		want    int
	}{{"short", 1_900_000, 200}, {"short", 2<<20 + 1, 413}, {"long", 36 << 20, 200}} {
		body := strings.Repeat("x", c.size)
		for i, text := range []string{postRequest("credit", "r", "", body), chunkedRequest("credit", "r", "", body)} {
			if i == 1 && c.want == 413 {
				continue // a chunked body is not rejected by its length
			}
			resp := n.sendWhileReading(forHost(c.service, text))
			got, err := io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != c.want || c.want == 200 && (err != nil || int(got) != len("r ")+c.size) {
				t.Errorf("%s, %d bytes, chunked %v: the answer is %d with %d bytes, error %v; want the case's status and, for 200, the whole body", c.service, c.size, i == 1, resp.StatusCode, got, err)
			}
		}
	}
	// A chunked request and an answer beyond the limit: neither is read as complete.
	if got := n.exchange(forHost("short", chunkedRequest("credit", "r", "", strings.Repeat("x", 3<<20)))); strings.Contains(got, "HTTP/1.1 200") {
		t.Errorf("a chunked body beyond the limit was answered %.60q, want a status other than 200", got)
	}
	tooLong := check.ScriptedServer(t, emulator.Respond("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n"+patternText(3_000_000)))
	n.reloadServices(serviceText("short", "") + poolText("short", `body = "2MB"`, tooLong.Addr))
	if status, _, _ := n.roundTripOnce(forHost("short", postRequest("credit", "q", "", "x"))); status != 502 {
		t.Errorf("a request whose answer exceeds the limit was answered %d, want 502", status)
	}
}

// sendWhileReading writes a request and reads its answer at the same time.
func (n *testNode) sendWhileReading(text string) *http.Response {
	n.t.Helper()
	c := n.dial()
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		n.t.Fatal(err)
	}
	return resp
}
