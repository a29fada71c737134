package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/standin"
	"jasperpin/internal/standin/check"
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
	n.gone()
}

// TestDrainLeavesMuteConnections drains beside connections that say nothing, or stopped
// within a head: they are closed long before a head's time is up, and one that goes on
// writing is answered.
func TestDrainLeavesMuteConnections(t *testing.T) {
	s := check.Raw(t, standin.Echo)
	n := startNode(t, nil, s.Addr)
	slow, text := n.dial(), look("slow")
	mute := []net.Conn{n.dial(), n.dial()}
	began := time.Now()
	if _, err := io.WriteString(mute[1], text[:20]); err != nil {
		t.Fatal(err)
	}
	n.term()
	closed := make(chan time.Duration, len(mute))
	for _, c := range mute {
		go func() {
			_, _ = io.Copy(io.Discard, c)
			closed <- time.Since(began)
		}()
	}
	drip(t, slow, text, func() {})
	for range mute {
		if took := <-closed; took > 2*time.Second {
			t.Errorf("a mute connection was there for %v", took)
		}
	}
}
