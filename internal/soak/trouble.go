package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"jasperpin/internal/emulator"
)

// crowdCall is how long each call takes a discovery that has too many callers.
const crowdCall = 150 * time.Millisecond

// play plays one trouble to its end.
func (r *run) play(ctx context.Context, t Trouble) {
	var err error
	switch {
	case t.Kind == NodesEndInTurn:
		err = r.endInTurn(ctx, t)
	case t.Kind <= NodeStarves:
		err = r.playNode(ctx, t, r.nodes[t.Target])
	case t.Kind <= DiscoveryOld:
		r.playDiscovery(ctx, t)
	case t.Kind <= ServerDies:
		err = r.playServer(ctx, t, r.servers[t.Target])
	case t.Kind <= LinkSilent:
		r.playLink(ctx, t, r.links[t.Target])
	default:
		r.playClients(ctx, t)
	}
	if err != nil {
		r.say("harness: %v: %v", t, err)
	}
}

func (r *run) playNode(ctx context.Context, t Trouble, n *instance) error {
	switch t.Kind {
	case NodeEnds, NodeDies:
		return n.restart(t.Kind == NodeDies)
	case NodePauses:
		n.pause(ctx, t.For)
	case NodeStarves:
		return n.starve(ctx, t.For)
	case NodeReloads, NodeReloadsBad, NodeReloadsAll:
		if err := r.write(n, t.Kind == NodeReloadsBad); err != nil {
			return err
		}
		n.signal(syscall.SIGHUP)
		if t.Kind == NodeReloadsAll {
			wait(ctx, t.For/10)
			n.signal(syscall.SIGHUP)
		}
	}
	return nil
}

// endInTurn tells each node to end, one behind the other, as a release does.
func (r *run) endInTurn(ctx context.Context, t Trouble) error {
	for _, n := range r.nodes {
		n.signal(syscall.SIGHUP)
		again := time.AfterFunc(t.For/10, func() { // not through signal: the node's place is held while it ends
			n.nudge(syscall.SIGHUP)
			n.nudge(syscall.SIGTERM)
		})
		err := n.restart(false)
		again.Stop()
		if err != nil || ctx.Err() != nil {
			return err
		}
	}
	return nil
}

func (r *run) playDiscovery(ctx context.Context, t Trouble) {
	from := time.Now()
	r.Record.mu.Lock()
	r.Lists = append(r.Lists, Span{from, from.Add(t.For + toldAtLatest)})
	r.Record.mu.Unlock()
	switch t.Kind {
	case DiscoveryDown:
		r.discovery.Down(true)
		wait(ctx, t.For)
		r.discovery.Down(false)
	case DiscoveryCrowds:
		r.discovery.Overrun(crowdCall)
		wait(ctx, t.For)
		r.discovery.Overrun(0)
	case DiscoveryOld:
		older := r.entries()
		wait(ctx, t.For)
		r.discovery.Set(older...)
		r.discovery.Set(r.entries()...)
	}
}

func (r *run) playServer(ctx context.Context, t Trouble, s *server) error {
	modes := map[Kind]mode{ServerHangs: hanging, ServerErrs: erring, ServerResets: resetting, ServerSpoils: spoiling, ServerLate: late}
	switch m, ok := modes[t.Kind]; {
	case ok:
		s.set(m)
		wait(ctx, t.For)
		s.set(serving)
	case t.Kind == ServerDies:
		s.die()
		wait(ctx, t.For)
		return r.anew(s)
	default:
		r.list(t.Target, true)
		from := time.Now()
		r.Record.mu.Lock()
		r.Drains[t.Target] = append(r.Drains[t.Target], Span{from, from.Add(24 * time.Hour)})
		r.Record.mu.Unlock()
		wait(ctx, t.For+r.Plan.Grace)
		s.die()
		return r.anew(s)
	}
	return nil
}

// anew has a server begin as another process, and discovery tell of it. Whatever drained is over then.
func (r *run) anew(s *server) error {
	r.endDrains(s.number)
	if err := s.begin(); err != nil {
		return err
	}
	r.list(s.number, false)
	return nil
}

func (r *run) playLink(ctx context.Context, t Trouble, link *emulator.Proxy) {
	switch t.Kind {
	case LinkCut:
		for end := time.Now().Add(t.For); time.Now().Before(end); {
			link.Cut()
			if !wait(ctx, t.For/5) {
				return
			}
		}
	case LinkSlow:
		from := time.Now()
		link.Set(emulator.Fault{Delay: linkDelay})
		wait(ctx, t.For)
		link.Set(emulator.Fault{})
		r.Record.mu.Lock()
		r.Slow = append(r.Slow, Span{from, time.Now().Add(linkDelay)})
		r.Record.mu.Unlock()
	case LinkSilent:
		link.Set(emulator.Fault{BlackHole: true})
		wait(ctx, t.For)
		link.Cut() // bytes are missing of what stands
		link.Set(emulator.Fault{})
	}
}

func (r *run) playClients(ctx context.Context, t Trouble) {
	if t.Kind == ClientsLeave {
		r.clients.setLeaving(true)
		wait(ctx, t.For)
		r.clients.setLeaving(false)
		return
	}
	if t.Kind == ClientsCrowd {
		r.clients.crowd(ctx, t.For)
		return
	}
	for end := time.Now().Add(t.For); time.Now().Before(end); {
		x := r.clients.roll(2)
		if t.Kind == ClientsStall {
			r.clients.all.Go(func() { r.clients.stall(x) })
		} else {
			r.clients.all.Go(func() { r.clients.flood(x) })
		}
		if !wait(ctx, max(t.For/8, 50*time.Millisecond)) {
			return
		}
	}
}

// stalls are what clients that stopped in the middle of a request have to say.
func (r *run) stalls() (all []string) {
	for _, d := range r.clients.doors {
		d.mu.Lock()
		all = slices.Concat(all, d.stalls)
		d.mu.Unlock()
	}
	return all
}

// endDrains writes down that a server drains no more: its process has ended.
func (r *run) endDrains(number int) {
	r.Record.mu.Lock()
	defer r.Record.mu.Unlock()
	now := time.Now()
	for i := range r.Drains[number] {
		if span := &r.Drains[number][i]; span.To.After(now) {
			span.To = now
		}
	}
}
