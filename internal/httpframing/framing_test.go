package httpframing

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// verdicts feeds a text in pieces of a size and returns one character for each head: "." for an unambiguous one
// and "?" for an ambiguous one, followed by "!" if the scanner has stopped.
func verdicts(text string, size int) string {
	var s Scanner
	for b := []byte(text); len(b) > 0; {
		n := min(size, len(b))
		s.Feed(b[:n])
		b = b[n:]
	}
	var out strings.Builder
	for h, ok := s.NextHead(); ok; h, ok = s.NextHead() {
		if h.Ambiguous {
			out.WriteByte('?')
		} else {
			out.WriteByte('.')
		}
	}
	if s.state == stopped {
		out.WriteByte('!')
	}
	return out.String()
}

// TestVerdictsOnHeads: the scanner parses heads and bodies of all kinds, in pieces of one byte and more. Heads
// that two implementations may read differently are ambiguous, and the scanner stops at bytes that it cannot
// parse.
func TestVerdictsOnHeads(t *testing.T) {
	const line = "POST /a HTTP/1.1\r\n"
	for text, want := range map[string]string{
		line + "Host: h\r\n\r\n":                                                                                   ".",
		line + "Content-Length: 3\r\n\r\nabc" + line + "\r\n":                                                      "..",
		line + "content-length:3\n\nabc" + line + "\n":                                                             "..",
		line + "Content-Length: 22\r\n\r\nPOST /b HTTP/1.1\r\n\r\n\r\n" + line + "\r\n":                            "..",
		line + "Transfer-Encoding: chunked\r\n\r\n3;a=\"b\"\r\nabc\r\n1\r\nx\r\n0\r\nT: v\r\n\r\n" + line + "\r\n": "..",
		line + "transfer-encoding: CHUNKED\r\n\r\n0\r\n\r\n":                                                       ".",
		line + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n":                                  "?",
		line + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                                  "?",
		line + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc":                                                 "?",
		line + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc":                                                 ".",
		line + "Content-Length: 3, 3\r\n\r\nabc":                                                                   "?!",
		line + "Content-Length: -3\r\n\r\nabc":                                                                     "?!",
		line + "Content-Length: 99999999999999999999\r\n\r\nabc":                                                   "?!",
		line + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n":                                                 "?",
		line + "Transfer-Encoding:\r\n chunked\r\n\r\n":                                                            "?",
		line + "Content-Length: 1\r\n 2\r\n\r\n":                                                                   "?",
		line + "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n":                                 "?",
		line + "X: a\r\n b\r\n\r\n":                                                                                ".",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                                                    "?",
		line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                                                          ".!",
		line + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n":                                                   ".!",
		line + "X: " + strings.Repeat("y", 2*maxLineBytes) + "\r\n\r\n":                                            ".",
		"GET /" + strings.Repeat("y", 2*maxLineBytes) + " HTTP/1.1\r\n\r\n":                                        ".",
		line + strings.Repeat("X:\r\n", MaxFields-2) + "\r\n":                                                      ".",
		line + strings.Repeat("X:\r\n", MaxFields) + "\r\n":                                                        "!",
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			if got := verdicts(text, size); got != want {
				t.Errorf("%q in pieces of %d bytes: verdicts %s, want %s", text, size, got, want)
			}
		}
	}
}

// FuzzBesideNetHTTP: every request that net/http reads from arbitrary bytes is recognised, in the same order,
// up to the first ambiguous one. No unambiguous request has both framings.
func FuzzBesideNetHTTP(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\nabcd")
	f.Add("POST /a HTTP/1.1\nHost: h\nContent-Length: 2\n x\n\nab")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 40\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		var s Scanner
		s.Feed([]byte(text))
		br := bufio.NewReader(strings.NewReader(text))
		for n := 0; n < 50; n++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			h, ok := s.NextHead()
			if !ok && s.HasTooManyFields() {
				return // the request is rejected and its connection closed
			}
			if !ok {
				t.Fatalf("request %d of %q was not recognised, and net/http reads it", n, text)
			}
			if h.Ambiguous {
				return // the request is rejected and its connection closed
			}
			if chunked := fmt.Sprint(req.TransferEncoding) == "[chunked]"; chunked && req.Header.Get("Content-Length") != "" {
				t.Fatalf("request %d of %q is unambiguous but has both framings", n, text)
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return // its connection is closed
			}
		}
	})
}
