package core

import (
	"net/textproto"
	"strings"
)

// hop are the headers that speak of one connection only.
var hop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// kept are the headers that a Connection header cannot name: without them a
// server could not tell what it is asked.
var kept = map[string]bool{"Req-Id": true, "Idempotency-Key": true, "Req-Deadline-Ms": true}

// EndToEnd takes out the headers that do not go on.
func EndToEnd(h map[string][]string) map[string][]string {
	named := h["Connection"]
	for _, name := range hop {
		delete(h, name)
	}
	for _, line := range named {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); !kept[name] {
				delete(h, name)
			}
		}
	}
	return h
}
