package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jasperpin/internal/hotrestart"
	"jasperpin/internal/limit"
)

// Times of a drain, counted from SIGTERM. The platform opens new connections for up to 0.4 s more. It
// sends SIGKILL no sooner than 0.7 s after the longest deadline, of which it counts at most 3 s.
const (
	// maxDrainDeadline bounds how much of the longest deadline the platform counts.
	maxDrainDeadline = 3 * time.Second
	// answerMargin is the time after the longest deadline at which the last answer is written.
	answerMargin = 400 * time.Millisecond
	// readMargin is the time after the longest deadline until which requests are still read. A
	// request that is complete at that time is answered, if only with a rejection.
	readMargin = 450 * time.Millisecond
	// exitMargin is the time after the longest deadline at which the drain ends, well before SIGKILL.
	exitMargin = 550 * time.Millisecond

	// acceptGrace is the minimum time after SIGTERM for which a process without a successor accepts
	// connections: 0.1 s longer than the platform opens new ones. While more connections arrive, the process
	// accepts them for up to twice as long.
	acceptGrace = 500 * time.Millisecond
	// acceptIdle is the time without a new connection after which the accept queue counts as empty.
	acceptIdle = 100 * time.Millisecond

	// idleCloseMargin is how long before the end of its drain a process with a successor closes idle
	// connections. An earlier close could cross a request that is already on its way.
	idleCloseMargin = 300 * time.Millisecond
	// drainReportInterval is the time between two reports of the connections that are still open. The
	// successor may use their part of the limits once they are closed.
	drainReportInterval = acceptIdle / 5
)

// drainDeadlines are the times by which the steps of a drain end.
type drainDeadlines struct {
	acceptUntil time.Time // the latest time at which connections are accepted without a successor
	answerBy    time.Time // the last answer is written
	readUntil   time.Time // the last byte of a request is read
	exitBy      time.Time
}

// drainDeadlines returns the deadlines of a drain that begins at now. If the deadlines of requests are
// short, the node stops accepting sooner.
func (n *Node) drainDeadlines(now time.Time) drainDeadlines {
	longest := n.longestDeadline()
	return drainDeadlines{
		acceptUntil: now.Add(min(2*acceptGrace, longest+readMargin)),
		answerBy:    now.Add(longest + answerMargin),
		readUntil:   now.Add(longest + readMargin),
		exitBy:      now.Add(longest + exitMargin),
	}
}

// longestDeadline returns the longest time that a request may still take, as the platform counts it.
func (n *Node) longestDeadline() time.Duration {
	longest := n.services.LongestDeadline()
	if longest == 0 {
		return maxDrainDeadline
	}
	return min(longest, maxDrainDeadline)
}

// drain answers all accepted requests. Without a successor it also answers requests on connections
// that still arrive: a client may have written its request before the node accepts the connection. The
// error lists the clients' connections that could not be closed.
func (n *Node) drain() error {
	began := time.Now()
	hasSuccessor := n.handover.HasSuccessor()
	n.log.Info("draining", "successor", hasSuccessor)
	n.draining.Store(true)
	n.remote.stopUpdates()
	n.server.Drain()
	// From now on open requests begin no more attempts at servers in slow start, because the node
	// gives up its quota of such attempts when it leaves the fleet.
	var leaving sync.WaitGroup
	leaving.Go(n.fleet.leave)
	deadlines := n.drainDeadlines(began)
	n.services.DrainBy(deadlines.answerBy)
	if hasSuccessor {
		n.handOverClients(deadlines.exitBy.Add(-idleCloseMargin))
	} else {
		n.awaitEmptyAcceptQueue(deadlines.acceptUntil)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadlines.exitBy)
	defer cancel()
	err := n.server.Shutdown(ctx, deadlines.readUntil)
	if hasSuccessor {
		n.handover.AwaitPredecessor(ctx)
	}
	leaving.Wait()
	n.log.Info("drained", "duration", time.Since(began).Round(time.Millisecond).String())
	if err != nil {
		return fmt.Errorf("closing clients' connections: %w", err)
	}
	return nil
}

// awaitEmptyAcceptQueue accepts connections for acceptGrace, and longer while new ones arrive, but not
// after until.
func (n *Node) awaitEmptyAcceptQueue(until time.Time) {
	time.Sleep(acceptGrace)
	for accepted := int64(-1); accepted != n.server.AcceptedConnections() && time.Now().Add(acceptIdle).Before(until); time.Sleep(acceptIdle) {
		accepted = n.server.AcceptedConnections()
	}
}

// handOverClients stops accepting, so that new clients reach the successor through the listening
// sockets that both processes share, and waits until this process has no more clients: each connection
// closes with its next answer. The successor is notified of the connections that are still open.
func (n *Node) handOverClients(until time.Time) {
	n.closeListeners()
	n.services.ReleaseQuota() // the successor continues with the slow-start tokens
	if err := n.services.Resize(n.cfg.Limits.Split(2)); err != nil {
		n.log.Error("hot restart: reducing this process's limits for the successor failed", "err", err)
	}
	announced := limit.ConnectionCounts{Clients: -1} // differs from any real count
	for time.Now().Before(until) && n.server.OpenConnections() > 0 {
		held := limit.ConnectionCounts{Clients: n.server.OpenConnections(), Servers: n.connections.OpenConnections()}
		if held != announced {
			announced = held
			n.handover.AnnounceDrain(hotrestart.Drain{Held: held})
		}
		time.Sleep(drainReportInterval)
	}
}
