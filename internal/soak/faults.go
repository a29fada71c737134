package soak

import (
	"context"
	"syscall"
	"time"

	"jasperpin/internal/emulator"
)

// overloadedCallTime is the service time of a call while discovery is overloaded.
const overloadedCallTime = 150 * time.Millisecond

// inject injects one fault, and returns once the fault has ended.
func (r *run) inject(ctx context.Context, fault Fault) {
	var err error
	switch { // the cases depend on the order of the kinds
	case fault.Kind == NodeSignals:
		err = r.nodes[fault.Target].endWithSignals(ctx, fault.Duration)
	case fault.Kind == ClientsCrowd:
		r.crowd(ctx, fault.Duration)
	case fault.Kind == RollingRestart:
		err = r.rollingRestart(ctx, fault)
	case fault.Kind <= NodeOutOfDescriptors:
		err = r.injectNodeFault(ctx, fault, r.nodes[fault.Target])
	case fault.Kind <= DiscoveryStale:
		r.injectDiscoveryFault(ctx, fault)
	case fault.Kind <= ServerDies:
		err = r.injectServerFault(ctx, fault, r.servers[fault.Target])
	case fault.Kind <= LinkBlackHole:
		r.injectLinkFault(ctx, fault, r.links[fault.Target])
	default:
		r.injectClientFault(ctx, fault)
	}
	if err != nil {
		r.logf("harness: %v: %v", fault, err)
	}
}

func (r *run) injectNodeFault(ctx context.Context, fault Fault, n *nodeRunner) error {
	switch fault.Kind {
	case NodeTerminated, NodeKilled:
		return n.restart(fault.Kind == NodeKilled)
	case NodePaused:
		n.pause(ctx, fault.Duration)
	case NodeOutOfDescriptors:
		return n.exhaustDescriptors(ctx, fault.Duration)
	case NodeReloads, NodeReloadsInvalid, NodeReloadsTwice:
		if err := r.writeConfig(n, fault.Kind == NodeReloadsInvalid); err != nil {
			return err
		}
		n.reload()
		if fault.Kind == NodeReloadsTwice {
			emulator.Sleep(ctx, fault.Duration/10)
			n.reload()
		}
	}
	return nil
}

// rollingRestart restarts the nodes one after another, as the rollout of a release does.
func (r *run) rollingRestart(ctx context.Context, fault Fault) error {
	for _, n := range r.nodes {
		n.reload()
		if err := n.restartWithSignals(fault.Duration / 10); err != nil || ctx.Err() != nil {
			return err
		}
	}
	return nil
}

// restartWithSignals restarts the process, and sends it further signals after some time if it has not ended.
func (n *nodeRunner) restartWithSignals(after time.Duration) error {
	// These signals are not sent by reload: restart holds the runner's mu until the new process serves.
	furtherSignals := time.AfterFunc(after, func() {
		n.signalEnding(syscall.SIGHUP)
		n.signalEnding(syscall.SIGTERM)
	})
	defer furtherSignals.Stop()
	return n.restart(false)
}

// reloadSignals is the number of SIGHUP before the SIGTERM of a series of signals.
const reloadSignals = 3

// endWithSignals sends a process a series of signals, ends it, and starts another one.
func (n *nodeRunner) endWithSignals(ctx context.Context, duration time.Duration) error {
	for range reloadSignals {
		n.reload()
		emulator.Sleep(ctx, duration/reloadSignals)
	}
	return n.restartWithSignals(duration / reloadSignals)
}

func (r *run) injectDiscoveryFault(ctx context.Context, fault Fault) {
	from := time.Now()
	r.update(func() {
		r.DiscoveryFaults = append(r.DiscoveryFaults, Interval{from, from.Add(fault.Duration + maxUpdateDelay)})
	})
	switch fault.Kind {
	case DiscoveryDown:
		r.discovery.SetDown(true)
		emulator.Sleep(ctx, fault.Duration)
		r.discovery.SetDown(false)
	case DiscoveryOverloaded:
		r.discovery.SetOverloaded(overloadedCallTime)
		emulator.Sleep(ctx, fault.Duration)
		r.discovery.SetOverloaded(0)
	case DiscoveryStale:
		older := r.listedServers()
		emulator.Sleep(ctx, fault.Duration)
		r.discovery.SetList(older...)
		r.discovery.SetList(r.listedServers()...)
	}
}

func (r *run) injectServerFault(ctx context.Context, fault Fault, s *server) error {
	defer r.recordServerFault()()
	switch fault.Kind {
	case ServerDrains:
		r.recordDrainStart(fault.Target)
		emulator.Sleep(ctx, fault.Duration+r.Plan.DrainGrace)
		s.reset()
		return r.restartServer(s)
	case ServerDies:
		s.reset()
		emulator.Sleep(ctx, fault.Duration)
		return r.restartServer(s)
	default:
		s.setMode(faultModes[fault.Kind])
		emulator.Sleep(ctx, fault.Duration)
		s.setMode(serving)
		return nil
	}
}

// faultModes are the modes of a server for the faults that change how it answers.
var faultModes = map[Kind]mode{
	ServerHangs: hanging, ServerErrs: failing, ServerResets: resetting, ServerCorrupts: corrupting, ServerLate: answeringLate,
}

// restartServer makes a server listen again, as a new process would, and lists it as in service. This ends its
// drain.
func (r *run) restartServer(s *server) error {
	r.recordDrainEnd(s.number)
	if err := s.restart(); err != nil {
		return err
	}
	r.setDraining(s.number, false)
	return nil
}

func (r *run) injectLinkFault(ctx context.Context, fault Fault, link *emulator.Proxy) {
	defer r.recordServerFault()()
	switch fault.Kind {
	case LinkResets:
		for end := time.Now().Add(fault.Duration); time.Now().Before(end); {
			link.ResetConnections()
			if !emulator.Sleep(ctx, fault.Duration/5) {
				return
			}
		}
	case LinkSlow:
		link.Set(emulator.Fault{Delay: linkDelay})
		emulator.Sleep(ctx, fault.Duration)
		link.Set(emulator.Fault{})
	case LinkBlackHole:
		link.Set(emulator.Fault{BlackHole: true})
		emulator.Sleep(ctx, fault.Duration)
		link.ResetConnections() // existing connections have lost bytes and cannot be used further
		link.Set(emulator.Fault{})
	}
}

func (r *run) injectClientFault(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case ClientsDisconnect:
		r.clients.setDisconnecting(true)
		emulator.Sleep(ctx, fault.Duration)
		r.clients.setDisconnecting(false)
	case ClientsIdle:
		r.clients.openIdleConnections(ctx, fault.Duration)
	case ClientsStall:
		r.startClients(ctx, fault, r.clients.stall)
	case ClientsFlood:
		r.startClients(ctx, fault, r.clients.flood)
	}
}

// recordServerFault records the begin of a fault of a server or its link, and returns a function that records its end.
func (r *run) recordServerFault() (end func()) {
	var index int
	r.update(func() {
		index = len(r.ServerFaults)
		r.ServerFaults = append(r.ServerFaults, Interval{time.Now(), time.Now().Add(openEnd)})
	})
	return func() { r.update(func() { r.ServerFaults[index].To = time.Now() }) }
}

// startClients starts one client after another for the duration of the fault. clients.running waits for them.
func (r *run) startClients(ctx context.Context, fault Fault, client func(random []float64)) {
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); {
		random := r.clients.randomNumbers(2)
		r.clients.running.Go(func() { client(random) })
		if !emulator.Sleep(ctx, max(fault.Duration/8, 50*time.Millisecond)) {
			return
		}
	}
}

// recordDrainStart lists a server as draining, and records the start of the drain.
func (r *run) recordDrainStart(number int) {
	r.setDraining(number, true)
	from := time.Now()
	r.update(func() { r.Drains[number] = append(r.Drains[number], Interval{from, from.Add(openEnd)}) })
}

// recordDrainEnd records the end of a server's drain: its process has ended.
func (r *run) recordDrainEnd(number int) {
	now := time.Now()
	r.update(func() {
		for i := range r.Drains[number] {
			if drain := &r.Drains[number][i]; drain.To.After(now) {
				drain.To = now
			}
		}
	})
}
