package core

import (
	"context"
	"log/slog"
	"time"

	"jasperpin/decide"
)

// Log messages for a request that ends without a server's answer.
const (
	logRejected = "request rejected"
	logFailed   = "request failed"
)

// explain logs, at debug level, the outcomes of the attempts of a request that ends without a server's answer.
// It is called with Pool.mu held, before the request is settled.
func (p *Pool) explain(id decide.RequestID, message string) {
	r := p.requests[id]
	if r == nil || !p.settings.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	attrs := []any{"request_id", r.ID, "class", r.Class, "remaining", r.deadline - p.clockTime(time.Now())}
	for _, a := range r.attempts {
		name := "unlisted"
		if a.server != nil {
			name = a.server.Name
		}
		attrs = append(attrs, slog.Group("attempt", "server_id", name, "result", a.result.String(),
			"duration", a.duration, "begun", a.begun, "ended", a.ended))
	}
	p.afterUnlock(func() { p.settings.Log.Debug(message, attrs...) })
}
