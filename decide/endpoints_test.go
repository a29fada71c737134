package decide

import "testing"

// An ejected server restarts: its new incarnation is not ejected, and is in slow start. Then the server
// is removed from the list, and listed again.
func TestRestartedServerStartsClean(t *testing.T) {
	b, _ := start(testSettings(), 10)
	s := b.ready[0]
	b.eject(s, "test")
	e := s.Server
	e.StartedAt = b.now
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	if s.ejected || ejectedServers(b) != 0 || b.slowStartFactor(s) == 1 {
		t.Errorf("server after a restart: ejected is %v, %d servers are ejected, slow-start factor is %v; want none ejected and a factor below 1", s.ejected, ejectedServers(b), b.slowStartFactor(s))
	}
	e.State = Gone
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	if b.serversByID[e.ID] != nil || len(b.ready) != 9 {
		t.Error("server in state Gone is still known, want it removed")
	}
	e.State = Ready
	b.UpdateEndpoints(b.now, UpdateDelta, []Server{e})
	if len(b.ready) != 10 {
		t.Error("server that was listed again is not ready, want it ready")
	}
}
