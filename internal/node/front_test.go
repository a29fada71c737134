package node

import (
	"jasperpin/internal/emulator"
	"jasperpin/internal/emulator/check"
	"strings"
	"testing"
)

// TestInvalidRequestClosesConnection sends invalid requests, each followed by a valid one that must
// not be read: each gets a 4xx and a close, and nothing reaches a server.
func TestInvalidRequestClosesConnection(t *testing.T) {
	server := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, server.Addr)
	const head = "POST /order/k HTTP/1.1\r\nHost: h\r\nReq-Id: x\r\nReq-Deadline-Ms: 20000\r\nIdempotency-Key: k\r\n"
	hidden := lookRequest("hidden")
	for name, text := range map[string]string{
		"both framings":         head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"both, other order":     head + "Transfer-Encoding: chunked\r\nContent-Length: 500\r\n\r\n0\r\n\r\n" + hidden,
		"chunked, folded":       head + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunked, bad size":     head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n" + hidden,
		"too long":              head + "Content-Length: 33554433\r\n\r\n" + hidden,
		"unknown class":         strings.Replace(lookRequest("x"), "/look/", "/lock/", 1) + hidden,
		"deadline not a number": strings.Replace(lookRequest("x"), "20000", "soon", 1) + hidden,
		"no id":                 strings.Replace(lookRequest("x"), "Req-Id: x\r\n", "", 1) + hidden,
		"negative length":       head + "Content-Length: -5\r\n\r\n" + hidden,
		"two lengths":           head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + hidden,
		"huge length":           head + "Content-Length: 99999999999\r\n\r\n" + hidden,
		"many fields":           strings.TrimSuffix(lookRequest("x"), "\r\n") + strings.Repeat("A:\r\n", 200) + "\r\n" + hidden,
		"noise":                 "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\r\n\r\n" + hidden,
	} {
		got := n.exchange(text)
		if !strings.HasPrefix(got, "HTTP/1.1 4") || strings.Count(got, "HTTP/1.1 ") != 1 {
			t.Errorf("%s: the answer is %q, want one response with a 4xx status", name, got)
		}
	}
	if got := server.Received.Load(); got != 0 {
		t.Errorf("%d requests reached the server, want none", got)
	}
}

// TestOptionsDoesNotHideAmbiguousRequest sends OPTIONS for the whole server, and behind it a request with both framings
// that may hide another one in its body. The second request must be judged by its own head: it gets a 4xx and a close,
// and nothing reaches a server.
func TestOptionsDoesNotHideAmbiguousRequest(t *testing.T) {
	server := check.ScriptedServer(t, emulator.Echo)
	n := startNode(t, nil, server.Addr)
	got := n.exchange("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /order/k HTTP/1.1\r\nHost: h\r\nReq-Id: x\r\nReq-Deadline-Ms: 20000\r\nIdempotency-Key: k\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		lookRequest("hidden"))
	if !strings.HasPrefix(got, "HTTP/1.1 200") || strings.Count(got, "HTTP/1.1 ") != 2 || !strings.Contains(got, "HTTP/1.1 400") {
		t.Errorf("the answers are %q, want 200 and then 400", got)
	}
	if got := server.Received.Load(); got != 0 {
		t.Errorf("%d requests reached the server, want none", got)
	}
}
