package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jasperpin/internal/hotrestart"
	"jasperpin/internal/limit"
)

// Times of a drain, counted from SIGTERM. The platform sends new connections for up to 0.4 s more,
// and SIGKILL no sooner than 0.7 s after the longest deadline, of which it counts 3 s at the most.
const (
	// maxDrainDeadline is the most that is counted of the longest deadline.
	maxDrainDeadline = 3 * time.Second
	// answerMargin is the time after the longest deadline at which the last answer is written.
	answerMargin = 400 * time.Millisecond
	// readMargin is the time after the longest deadline until which requests are still read: one
	// that is complete by then gets an answer, if only a rejection.
	readMargin = 450 * time.Millisecond
	// exitMargin is the time after the longest deadline at which the drain ends, well before SIGKILL.
	exitMargin = 550 * time.Millisecond

	// acceptGrace is how long a process without a successor accepts connections after SIGTERM at least:
	// 0.1 s longer than the platform sends new ones. While more come it goes on, up to twice as long.
	acceptGrace = 500 * time.Millisecond
	// acceptIdle is the time without a new connection after which the accept queue counts as empty.
	acceptIdle = 100 * time.Millisecond

	// idleCloseMargin is how long before the end a process with a successor closes connections that
	// are idle. Earlier the close could cross a request that is on its way.
	idleCloseMargin = 300 * time.Millisecond
	// heldInterval is the time between two looks at the connections still held, which the successor
	// may use once they are free.
	heldInterval = acceptIdle / 5
)

// drainDeadlines are the moments by which the steps of a drain end.
type drainDeadlines struct {
	acceptUntil time.Time // without a successor, the latest at which connections are accepted
	answerBy    time.Time // the last answer
	readUntil   time.Time // the last byte of a request
	exitBy      time.Time
}

// drainDeadlines returns those of a drain that begins now. With short deadlines of requests the end
// of acceptance comes sooner.
func (n *Node) drainDeadlines(now time.Time) drainDeadlines {
	longest := n.longestDeadline()
	return drainDeadlines{
		acceptUntil: now.Add(min(2*acceptGrace, longest+readMargin)),
		answerBy:    now.Add(longest + answerMargin),
		readUntil:   now.Add(longest + readMargin),
		exitBy:      now.Add(longest + exitMargin),
	}
}

// longestDeadline is the longest time that a request may still take, as the platform counts it.
func (n *Node) longestDeadline() time.Duration {
	longest := n.services.LongestDeadline()
	if longest == 0 {
		return maxDrainDeadline
	}
	return min(longest, maxDrainDeadline)
}

// drain answers all requests that were accepted, and with no successor also those of connections
// that still arrive: they may be complete before the node has accepted them. The error says which
// clients' connections could not be closed.
func (n *Node) drain() error {
	began := time.Now()
	hasSuccessor := n.handover.HasSuccessor()
	n.log.Info("draining", "successor", hasSuccessor)
	n.draining.Store(true)
	n.remote.stopUpdates()
	n.server.Drain()
	// From here on open requests begin no more attempts at servers in slow start, since the node's
	// quota of those goes with its leave.
	var leaving sync.WaitGroup
	leaving.Go(n.fleet.leave)
	deadlines := n.drainDeadlines(began)
	n.services.DrainBy(deadlines.answerBy)
	if hasSuccessor {
		n.leaveClientsToSuccessor(deadlines.exitBy.Add(-idleCloseMargin))
	} else {
		n.awaitEmptyAcceptQueue(deadlines.acceptUntil)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadlines.exitBy)
	defer cancel()
	err := n.server.Shutdown(ctx, deadlines.readUntil)
	leaving.Wait()
	n.log.Info("drained", "duration", time.Since(began).Round(time.Millisecond).String())
	if err != nil {
		return fmt.Errorf("closing clients' connections: %w", err)
	}
	return nil
}

// awaitEmptyAcceptQueue accepts connections for acceptGrace and for as long as new ones come, but no
// longer than until.
func (n *Node) awaitEmptyAcceptQueue(until time.Time) {
	time.Sleep(acceptGrace)
	for accepted := int64(-1); accepted != n.server.AcceptedConnections() && time.Now().Add(acceptIdle).Before(until); time.Sleep(acceptIdle) {
		accepted = n.server.AcceptedConnections()
	}
}

// leaveClientsToSuccessor stops accepting, so that new clients reach the successor through the
// socket that both share, and waits for this process's clients to leave: each connection closes with
// its next answer. The successor is notified of the connections still held.
func (n *Node) leaveClientsToSuccessor(until time.Time) {
	n.closeListeners()
	if err := n.services.Resize(n.cfg.Limits.Split(2)); err != nil {
		n.log.Error("hot restart: reducing this process's limits for the successor failed", "err", err)
	}
	announced := limit.ConnectionCounts{Clients: -1} // unlike any real count
	for time.Now().Before(until) && n.server.OpenConnections() > 0 {
		held := limit.ConnectionCounts{Clients: n.server.OpenConnections(), Servers: n.connections.OpenConnections()}
		if held != announced {
			announced = held
			n.handover.AnnounceDrain(hotrestart.Drain{Held: held})
		}
		time.Sleep(heldInterval)
	}
}
