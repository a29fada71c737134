package core

import (
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// protectedHeaders are forwarded even if a Connection header names them: a server needs these headers to identify the
// request and its repeats and to know its deadline.
var protectedHeaders = map[string]bool{"Req-Id": true, "Idempotency-Key": true, "Req-Deadline-Ms": true}

// RemoveHopByHopHeaders removes the headers that apply to one connection only: the standard ones, and those that
// a Connection header names, except protected, which may be empty. It changes and returns header. All names must be in
// canonical form.
func RemoveHopByHopHeaders(header map[string][]string, protected string) map[string][]string {
	connection := header["Connection"]
	for _, name := range hopByHop {
		delete(header, name)
	}
	for _, line := range connection {
		for name := range strings.SplitSeq(line, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if name != protected && !protectedHeaders[name] {
				delete(header, name)
			}
		}
	}
	return header
}
