package decide

import (
	"testing"
	"time"
)

// Five nodes send requests for one hot key. They choose the same few servers for it.
func TestKeyStaysOnFewServers(t *testing.T) {
	settings := testSettings()
	settings.KeyAffinity = true
	used := map[ServerID]bool{}
	for seed := range uint64(5) {
		effects := newEffectLog()
		b := New(settings, seed, 0, effects)
		b.UpdateEndpoints(0, UpdateCached, servers(60))
		for i := range 20 {
			id := RequestID(i)
			b.now += 200 * time.Millisecond
			b.Arrive(b.now, Request{ID: id, Key: 77, Deadline: b.now + second})
			b.AttemptFinished(b.now+50*time.Millisecond, Outcome{ID: id, Result: OK, Final: true})
		}
		for _, s := range effects.sends {
			used[s.server] = true
		}
	}
	if len(used) > 25 {
		t.Errorf("100 calls for one key from 5 nodes were sent to %d of 60 servers, want at most 25", len(used))
	}
}
