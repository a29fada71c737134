package core

import (
	"context"
	"log/slog"
	"time"

	"jasperpin/decide"
)

// explain logs why a request ends without a server's answer: what became of its attempts.
func (p effects) explain(id decide.RequestID, end string) {
	r := p.reqs[id]
	if r == nil || !p.set.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	attrs := []any{"request", r.ID, "class", r.Class, "left", r.due - p.since(time.Now())}
	for _, a := range r.attempts {
		name := "unlisted"
		if a.srv != nil {
			name = a.srv.Name
		}
		attrs = append(attrs, slog.Group("attempt", "server", name, "result", a.result.String(), "took", a.took, "begun", a.begun, "ended", a.ended))
	}
	p.later(func() { p.set.Log.Debug("a request is "+end, attrs...) })
}
