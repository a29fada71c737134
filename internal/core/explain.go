package core

import (
	"context"
	"log/slog"
	"time"

	"jasperpin/decide"
)

// The log messages for a request that ends without a server's answer.
const (
	logRejected = "a request is refused"
	logFailed   = "a request is failed"
)

// explain logs, at debug level, what became of the attempts of a request that ends without a server's
// answer. Called under the lock, before the request is settled.
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
