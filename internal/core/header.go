package core

import (
	"net/textproto"
	"strings"
)

// hopByHop are the headers that speak of one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// protectedHeaders cannot be named by a Connection header: without them a server could not tell what it
// is asked for.
var protectedHeaders = map[string]bool{"Req-Id": true, "Idempotency-Key": true, "Req-Deadline-Ms": true}

// RemoveHopByHopHeaders removes, in place, the headers that speak of one connection only: the usual ones, and those
// that a Connection header names. Names must be in canonical form.
func RemoveHopByHopHeaders(header map[string][]string) map[string][]string {
	connection := header["Connection"]
	for _, name := range hopByHop {
		delete(header, name)
	}
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !protectedHeaders[name] {
				delete(header, name)
			}
		}
	}
	return header
}
