package node

import (
	"fmt"
	"jasperpin/internal/standin/check"
	"strings"
	"testing"
	"time"
)

// TestDrainUnderLoad sends SIGTERM with requests held by a server and more
// coming on new connections: all are answered, and the node ends.
func TestDrainUnderLoad(t *testing.T) {
	const each = 16
	release := make(chan struct{})
	s := check.Raw(t, held(release, ""))
	n := startNode(t, nil, s.Addr)
	answers := make(chan string, 2*each)
	send := func(id string) {
		status, body, h := n.once(look(id))
		answers <- fmt.Sprintf("%d %v %s", status, body == id+" ", h.Get("Connection"))
	}
	for i := range each {
		go send(fmt.Sprint("before", i))
	}
	check.Eventually(t, "the requests are out", func() bool { return s.Got.Load() == each })
	n.term()
	check.Eventually(t, "the drain has begun", func() bool { return strings.Contains(n.logged.String(), "draining") })
	for i := range each {
		go send(fmt.Sprint("after", i))
	}
	check.Eventually(t, "newcomers are taken", func() bool { return s.Got.Load() == 2*each })
	close(release)
	for range 2 * each {
		if got := <-answers; got != "200 true close" {
			t.Errorf("answered %q", got)
		}
	}
	select {
	case err := <-n.ended:
		n.ended <- err
	case <-time.After(check.Soon):
		t.Error("the node did not end")
	}
}
