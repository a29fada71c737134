// Command simadapter runs the decision engine in the simulator. It reads batches of events from standard
// input, passes each event to the Balancer of its instance, and replies to each batch with the actions
// that resulted. It makes no decisions itself.
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
		fmt.Fprint(flag.CommandLine.Output(), "usage: simadapter\n\nRuns the simulator's protocol on standard input and output until the input ends.\n")
	}
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "simadapter: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends between two batches.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	a := adapter{instances: make(map[uint16]*instance)}
	var frame []byte
	for batch := 1; ; batch++ {
		var err error
		frame, err = simproto.ReadFrame(r, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if err := a.handleBatch(frame); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if _, err := out.Write(a.encoder.Bytes()); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", batch, err)
		}
	}
}

// instance is one node in the simulator. It implements decide.Effects for its Balancer by encoding the effects as
// actions.
type instance struct {
	number   uint16
	encoder  *simproto.Encoder
	balancer *decide.Balancer // nil after a panic; the instance's events are then dropped
}

func (n *instance) Send(id decide.RequestID, s decide.ServerID, timeout time.Duration) {
	n.encoder.Send(n.number, uint32(id), uint32(s), timeout)
}

func (n *instance) Cancel(id decide.RequestID, attempt int) {
	n.encoder.Cancel(n.number, uint32(id), uint16(attempt))
}

func (n *instance) Reject(id decide.RequestID, retryAfter time.Duration) {
	n.encoder.Reject(n.number, uint32(id), retryAfter)
}

func (n *instance) Fail(id decide.RequestID) { n.encoder.Fail(n.number, uint32(id)) }

func (n *instance) SetTimer(token uint64, at time.Duration) { n.encoder.SetTimer(n.number, token, at) }

func (n *instance) WatchEndpoints(on bool) { n.encoder.WatchEndpoints(n.number, on) }

func (n *instance) Log(text string) { n.encoder.Log(n.number, text) }

// recoverPanic calls f. If f panics, it replaces the actions encoded in f by Broken and disables the
// instance: one failed instance must not end the others in this process.
func (n *instance) recoverPanic(f func()) {
	mark := n.encoder.Mark()
	defer func() {
		if p := recover(); p != nil {
			n.encoder.Truncate(mark)
			n.encoder.Broken(n.number, fmt.Sprintf("instance %d: %v", n.number, p))
			n.balancer = nil
		}
	}()
	f()
}

// adapter runs the instances of this process, by number.
type adapter struct {
	instances map[uint16]*instance
	encoder   simproto.Encoder
	decoder   simproto.Decoder
	endpoints []decide.Server // reused buffer
}

// handleBatch handles the events of one frame and leaves the resulting actions in the encoder.
func (a *adapter) handleBatch(frame []byte) error {
	a.encoder.Reset()
	if err := a.decoder.Reset(frame); err != nil {
		return err
	}
	var ev simproto.Event
	for {
		err := a.decoder.Next(&ev)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleEvent(&ev); err != nil {
			return err
		}
	}
}

func (a *adapter) handleEvent(ev *simproto.Event) error {
	switch ev.Code {
	case simproto.EventStart:
		return a.startInstance(ev)
	case simproto.EventStop:
		delete(a.instances, ev.Instance)
		return nil
	}
	n := a.instances[ev.Instance]
	if n == nil {
		return fmt.Errorf("event %d: field who: instance %d was never launched", ev.Code, ev.Instance)
	}
	if n.balancer != nil {
		n.recoverPanic(func() { a.feedBalancer(n.balancer, ev) })
	}
	return nil
}

// startInstance starts an instance. It replaces an instance with the same number.
func (a *adapter) startInstance(ev *simproto.Event) error {
	settings, err := simproto.ParseSettings(ev.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: field setup: %w", ev.Instance, err)
	}
	n := &instance{number: ev.Instance, encoder: &a.encoder}
	a.instances[ev.Instance] = n
	n.recoverPanic(func() { n.balancer = decide.New(settings, ev.Seed, a.decoder.Now(), n) })
	return nil
}

// feedBalancer passes an event to a Balancer. It drops events that no decision depends on (first bytes,
// health checks, peer messages).
func (a *adapter) feedBalancer(b *decide.Balancer, ev *simproto.Event) {
	now := a.decoder.Now()
	switch ev.Code {
	case simproto.EventEndpoints:
		b.UpdateEndpoints(now, updateKinds[ev.UpdateKind], a.serversOf(ev.Entries))
	case simproto.EventRequest:
		b.Arrive(now, requestOf(ev))
	case simproto.EventAttemptFinished:
		b.AttemptFinished(now, decide.Outcome{
			ID: decide.RequestID(ev.Request), Attempt: int(ev.Attempt), Result: results[ev.Result], Final: ev.Final,
		})
	case simproto.EventClientDisconnected:
		b.ClientDisconnected(now, decide.RequestID(ev.Request))
	case simproto.EventTimerFired:
		b.TimerFired(now, ev.Token)
	}
}

// serversOf converts the entries of an endpoint list. The result is valid until the next call.
func (a *adapter) serversOf(entries []simproto.Entry) []decide.Server {
	a.endpoints = a.endpoints[:0]
	for _, e := range entries {
		a.endpoints = append(a.endpoints, decide.Server{
			ID: decide.ServerID(e.Server), Zone: int(e.Zone), Cell: int(e.Cell),
			State: serverStates[e.State], Capacity: float64(e.Capacity), StartedAt: e.StartedAt,
		})
	}
	return a.endpoints
}

func requestOf(ev *simproto.Event) decide.Request {
	q := decide.Request{
		ID: decide.RequestID(ev.Request), Class: int(ev.Class), Key: ev.Key,
		ClientRetry: ev.Flags&simproto.FlagClientRetry != 0, Deadline: ev.Deadline,
	}
	if ev.Flags&simproto.FlagWorkHint != 0 {
		q.WorkHint = ev.WorkHint
	}
	return q
}

// Tables from the protocol's numbers to the decision engine's values. The decoder has checked that the
// numbers are within these tables.
var (
	updateKinds  = [...]decide.UpdateKind{decide.UpdateDelta, decide.UpdateFull, decide.UpdateCached, decide.UpdateFailed}
	serverStates = [...]decide.ServerState{decide.Gone, decide.Ready, decide.Draining}
	results      = [...]decide.Result{
		decide.OK, decide.Failed, decide.Overloaded, decide.TimedOut,
		decide.ConnectFailed, decide.ConnectionReset, decide.Cancelled, decide.Abandoned,
	}
)
