// Command benchlink lets the decision module run in the simulator: it reads
// batches of events on standard input, feeds each instance's Balancer, and
// answers each batch with the actions they took. It decides nothing itself.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"jasperpin/decide"
	"jasperpin/internal/simproto"
)

func main() {
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), "usage: benchlink\n\nSpeaks the simulator's wire on standard input and output until input ends.\n")
	}
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "benchlink: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// node is one instance; it turns the module's effects into actions.
type node struct {
	who uint16
	enc *simproto.Encoder
	b   *decide.Balancer
}

func (n *node) Send(id decide.RequestID, s decide.ServerID, timeout time.Duration) {
	n.enc.Assign(n.who, uint32(id), uint32(s), timeout)
}
func (n *node) Cancel(id decide.RequestID, attempt int) {
	n.enc.StopAttempt(n.who, uint32(id), uint16(attempt))
}
func (n *node) Reject(id decide.RequestID, retryAfter time.Duration) {
	n.enc.Decline(n.who, uint32(id), retryAfter)
}
func (n *node) Fail(id decide.RequestID)                { n.enc.GiveUp(n.who, uint32(id)) }
func (n *node) SetTimer(token uint64, at time.Duration) { n.enc.Sleep(n.who, token, at) }
func (n *node) WatchEndpoints(on bool)                  { n.enc.StreamChanges(n.who, on) }
func (n *node) Log(text string)                         { n.enc.Remark(n.who, text) }

// link holds the instances of this process by number. A nil Balancer marks one
// that broke: its events are dropped.
type link struct {
	nodes map[uint16]*node
	enc   simproto.Encoder
	dec   simproto.Decoder
	list  []decide.Server
}

func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	l := link{nodes: make(map[uint16]*node)}
	var buf []byte
	for n := 1; ; n++ {
		var err error
		if buf, err = simproto.ReadFrame(r, buf); err != nil {
			if err == io.EOF {
				return nil
			}
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err = l.batch(buf); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err = out.Write(l.enc.Bytes()); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
	}
}

func (l *link) batch(frame []byte) error {
	l.enc.Reset()
	if err := l.dec.Reset(frame); err != nil {
		return err
	}
	var ev simproto.Event
	for {
		if err := l.dec.Next(&ev); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := l.event(&ev); err != nil {
			return err
		}
	}
}

func (l *link) event(ev *simproto.Event) error {
	n := l.nodes[ev.Who]
	switch ev.Code {
	case simproto.EvLaunch:
		set, err := simproto.ParseSetup(ev.Setup)
		if err != nil {
			return fmt.Errorf("instance %d: field setup: %w", ev.Who, err)
		}
		n = &node{who: ev.Who, enc: &l.enc}
		l.nodes[ev.Who] = n
		n.guard(func() { n.b = decide.New(set, ev.Seed, l.dec.Now(), n) })
		return nil
	case simproto.EvRetire:
		delete(l.nodes, ev.Who)
		return nil
	}
	if n == nil {
		return fmt.Errorf("event %d: field who: instance %d was never launched", ev.Code, ev.Who)
	}
	if n.b != nil {
		n.guard(func() { l.feed(n.b, ev) })
	}
	return nil
}

// guard turns a panic of the module into Broken for its instance; what the
// instance had decided in this event is dropped.
func (n *node) guard(f func()) {
	mark := n.enc.Mark()
	defer func() {
		if p := recover(); p != nil {
			n.enc.Truncate(mark)
			n.enc.Broken(n.who, fmt.Sprintf("instance %d: %v", n.who, p))
			n.b = nil
		}
	}()
	f()
}

func (l *link) feed(b *decide.Balancer, ev *simproto.Event) {
	now := l.dec.Now()
	switch ev.Code {
	case simproto.EvFleet:
		kind := [...]decide.UpdateKind{decide.UpdateDelta, decide.UpdateFull, decide.UpdateCached, decide.UpdateFailed}[ev.Scope]
		l.list = l.list[:0]
		for _, e := range ev.Entries {
			l.list = append(l.list, decide.Server{
				ID: decide.ServerID(e.Server), Zone: int(e.Zone), Cell: int(e.Cell),
				State:    [...]decide.ServerState{decide.Gone, decide.Ready, decide.Draining}[e.Condition],
				Capacity: float64(e.Scale), StartedAt: e.Since,
			})
		}
		b.UpdateEndpoints(now, kind, l.list)
	case simproto.EvNewRequest:
		q := decide.Request{
			ID: decide.RequestID(ev.Req), Class: int(ev.Class), Key: ev.Key,
			ClientRetry: ev.Flags&2 != 0, Deadline: ev.Due,
		}
		if ev.Flags&1 != 0 {
			q.WorkHint = ev.Hint
		}
		b.Arrive(now, q)
	case simproto.EvEnded:
		b.AttemptFinished(now, decide.Outcome{
			ID: decide.RequestID(ev.Req), Attempt: int(ev.Attempt), Result: results[ev.Reason],
			Final: ev.Settled,
		})
	case simproto.EvLeft:
		b.ClientDisconnected(now, decide.RequestID(ev.Req))
	case simproto.EvElapsed:
		b.TimerFired(now, ev.Token)
	}
}

// results turns the wire's outcome codes into the module's.
var results = [...]decide.Result{
	decide.OK, decide.Failed, decide.Overloaded, decide.TimedOut,
	decide.ConnectFailed, decide.ConnectionReset, decide.Cancelled, decide.Abandoned,
}
