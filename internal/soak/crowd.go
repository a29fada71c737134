package soak

import (
	"context"
	"fmt"
	"time"

	"jasperpin/internal/emulator"
)

// crowdClients is the number of clients of a crowd, over all nodes.
const crowdClients = 600

// crowd runs a crowd of all kinds of clients at all nodes.
func (r *run) crowd(ctx context.Context, duration time.Duration) {
	from := time.Now()
	allowed := Interval{from, from.Add(duration + idleRecovery)}
	r.update(func() {
		r.IdleFloods = append(r.IdleFloods, allowed)
		r.Crowds = append(r.Crowds, allowed)
	})
	kinds := make([]emulator.CrowdKind, 0, emulator.NumCrowdKinds)
	for kind := range emulator.NumCrowdKinds {
		kinds = append(kinds, kind)
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	for _, n := range r.nodes {
		crowd := emulator.Crowd{Addr: n.addr, Clients: crowdClients / len(r.nodes), Kinds: kinds, UploadHead: r.uploadHead, DownloadHead: r.downloadHead}
		r.clients.running.Go(func() { crowd.Run(ctx) })
	}
	<-ctx.Done()
}

// uploadHead returns the head of a crowd's request with a body.
func (r *run) uploadHead(id string, length int) string {
	class := r.Plan.classOf(NotIdempotent)
	return fmt.Sprintf("POST /%s/k HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		class.Name, id, class.Deadline.Milliseconds(), length)
}

// downloadHead returns the head of a crowd's request without a body, which is answered with a long answer.
func (r *run) downloadHead(id string) string {
	class := r.Plan.classOf(Idempotent)
	return fmt.Sprintf("GET /%s/%s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", class.Name, longObject, id, class.Deadline.Milliseconds())
}

// classOf returns the class with an idempotency.
func (p *Plan) classOf(idempotency Idempotency) Class {
	for _, class := range p.Classes {
		if class.Idempotency == idempotency {
			return class
		}
	}
	return Class{}
}
