package soak

import (
	"context"
	"syscall"
	"time"

	"jasperpin/internal/emulator"
)

// overloadedCallTime is how long each call takes while discovery is overloaded.
const overloadedCallTime = 150 * time.Millisecond

// inject carries out one fault, and returns once it is over.
func (r *run) inject(ctx context.Context, t Fault) {
	var err error
	switch { // by the order of the kinds
	case t.Kind == RollingRestart:
		err = r.rollingRestart(ctx, t)
	case t.Kind <= NodeOutOfDescriptors:
		err = r.injectNodeFault(ctx, t, r.nodes[t.Target])
	case t.Kind <= DiscoveryStale:
		r.injectDiscoveryFault(ctx, t)
	case t.Kind <= ServerDies:
		err = r.injectServerFault(ctx, t, r.servers[t.Target])
	case t.Kind <= LinkBlackHole:
		r.injectLinkFault(ctx, t, r.links[t.Target])
	default:
		r.injectClientFault(ctx, t)
	}
	if err != nil {
		r.logf("harness: %v: %v", t, err)
	}
}

func (r *run) injectNodeFault(ctx context.Context, t Fault, n *nodeRunner) error {
	switch t.Kind {
	case NodeTerminated, NodeKilled:
		return n.restart(t.Kind == NodeKilled)
	case NodePaused:
		n.pause(ctx, t.Duration)
	case NodeOutOfDescriptors:
		return n.starve(ctx, t.Duration)
	case NodeReloads, NodeReloadsInvalid, NodeReloadsTwice:
		if err := r.writeConfig(n, t.Kind == NodeReloadsInvalid); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
		if t.Kind == NodeReloadsTwice {
			emulator.Sleep(ctx, t.Duration/10)
			n.signal(syscall.SIGHUP)
		}
	}
	return nil
}

// rollingRestart restarts the nodes one after another, as a release does.
func (r *run) rollingRestart(ctx context.Context, t Fault) error {
	for _, n := range r.nodes {
		n.signal(syscall.SIGHUP)
		// Not through signal: restart holds the runner's mu until the new process serves.
		furtherSignals := time.AfterFunc(t.Duration/10, func() {
			n.signalEnding(syscall.SIGHUP)
			n.signalEnding(syscall.SIGTERM)
		})
		err := n.restart(false)
		furtherSignals.Stop()
		if err != nil || ctx.Err() != nil {
			return err
		}
	}
	return nil
}

func (r *run) injectDiscoveryFault(ctx context.Context, t Fault) {
	from := time.Now()
	r.update(func() {
		r.DiscoveryFaults = append(r.DiscoveryFaults, Interval{from, from.Add(t.Duration + maxUpdateDelay)})
	})
	switch t.Kind {
	case DiscoveryDown:
		r.discovery.SetDown(true)
		emulator.Sleep(ctx, t.Duration)
		r.discovery.SetDown(false)
	case DiscoveryOverloaded:
		r.discovery.SetOverloaded(overloadedCallTime)
		emulator.Sleep(ctx, t.Duration)
		r.discovery.SetOverloaded(0)
	case DiscoveryStale:
		older := r.listedServers()
		emulator.Sleep(ctx, t.Duration)
		r.discovery.SetList(older...)
		r.discovery.SetList(r.listedServers()...)
	}
}

func (r *run) injectServerFault(ctx context.Context, t Fault, s *server) error {
	switch t.Kind {
	case ServerDrains:
		r.recordDrainStart(t.Target)
		emulator.Sleep(ctx, t.Duration+r.Plan.DrainGrace)
		s.reset()
		return r.restartServer(s)
	case ServerDies:
		s.reset()
		emulator.Sleep(ctx, t.Duration)
		return r.restartServer(s)
	default:
		s.setMode(faultModes[t.Kind])
		emulator.Sleep(ctx, t.Duration)
		s.setMode(serving)
		return nil
	}
}

// faultModes are the faults that change how a server answers.
var faultModes = map[Kind]mode{
	ServerHangs: hanging, ServerErrs: failing, ServerResets: resetting, ServerCorrupts: corrupting, ServerLate: answeringLate,
}

// restartServer lets a server listen again as another process, and lists it as healthy. That ends its drain.
func (r *run) restartServer(s *server) error {
	r.recordDrainEnd(s.number)
	if err := s.restart(); err != nil {
		return err
	}
	r.setDraining(s.number, false)
	return nil
}

func (r *run) injectLinkFault(ctx context.Context, t Fault, link *emulator.Proxy) {
	switch t.Kind {
	case LinkCut:
		for end := time.Now().Add(t.Duration); time.Now().Before(end); {
			link.Cut()
			if !emulator.Sleep(ctx, t.Duration/5) {
				return
			}
		}
	case LinkSlow:
		from := time.Now()
		link.Set(emulator.Fault{Delay: linkDelay})
		emulator.Sleep(ctx, t.Duration)
		link.Set(emulator.Fault{})
		r.update(func() { r.SlowLinks = append(r.SlowLinks, Interval{from, time.Now().Add(linkDelay)}) })
	case LinkBlackHole:
		link.Set(emulator.Fault{BlackHole: true})
		emulator.Sleep(ctx, t.Duration)
		link.Cut() // existing connections have lost bytes and cannot go on
		link.Set(emulator.Fault{})
	}
}

func (r *run) injectClientFault(ctx context.Context, t Fault) {
	switch t.Kind {
	case ClientsDisconnect:
		r.clients.setDisconnecting(true)
		emulator.Sleep(ctx, t.Duration)
		r.clients.setDisconnecting(false)
	case ClientsIdle:
		r.clients.occupyDescriptors(ctx, t.Duration)
	case ClientsStall:
		r.startClients(ctx, t, r.clients.stall)
	case ClientsFlood:
		r.startClients(ctx, t, r.clients.flood)
	}
}

// startClients starts one client after another while the fault lasts. clients.running waits for them.
func (r *run) startClients(ctx context.Context, t Fault, client func(random []float64)) {
	for end := time.Now().Add(t.Duration); time.Now().Before(end); {
		random := r.clients.randomNumbers(2)
		r.clients.running.Go(func() { client(random) })
		if !emulator.Sleep(ctx, max(t.Duration/8, 50*time.Millisecond)) {
			return
		}
	}
}

// recordDrainStart lists a server as draining, and notes since when.
func (r *run) recordDrainStart(number int) {
	r.setDraining(number, true)
	from := time.Now()
	r.update(func() { r.Drains[number] = append(r.Drains[number], Interval{from, from.Add(notYet)}) })
}

// recordDrainEnd notes that a server drains no longer: its process has ended.
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
