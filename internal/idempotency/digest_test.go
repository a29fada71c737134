package idempotency

import (
	"strings"
	"testing"
)

// TestDigestIdentifiesRequest checks that the digest depends on method, target and body, and not on how the
// body is split into writes.
func TestDigestIdentifiesRequest(t *testing.T) {
	sum := func(method, target string, pieces ...string) Digest {
		d := NewDigester(method, target)
		for _, p := range pieces {
			_, _ = d.Write([]byte(p))
		}
		return d.Sum()
	}
	if sum("POST", "/credit/1", "a", "bc") != sum("POST", "/credit/1", "abc") {
		t.Error("the same body split into different pieces has a different digest, want the same")
	}
	seen := make(map[Digest]string)
	for _, c := range [][3]string{{"POST", "/a", ""}, {"POST", "/", "a"}, {"POS", "T/a", ""}, {"PUT", "/a", ""}, {"POST", "/a", "x"}} {
		d := sum(c[0], c[1], c[2])
		if other := seen[d]; other != "" {
			t.Errorf("the requests %v and %s have the same digest, want different ones", c, other)
		}
		seen[d] = strings.Join(c[:], " ")
	}
}
