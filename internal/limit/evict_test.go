package limit

import (
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// TestEvictOrder: crowds of connections of each kind compete for 64 places. The kind that makes room follows
// the order of Evict.
func TestEvictOrder(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		silent, partial, sending, idle Group
		want                           Kind
	}{
		"all have requests":                         {want: Nobody},
		"one idle":                                  {idle: Group{1, 0}, want: Resting},
		"few silent, one idle":                      {silent: Group{16, time.Second}, idle: Group{1, 0}, want: Resting},
		"one silent among partial ones":             {silent: Group{1, 60 * ms}, partial: Group{40, 400 * ms}, idle: Group{1, 0}, want: Silent},
		"many silent, some idle":                    {silent: Group{17, time.Second}, idle: Group{9, time.Hour}, want: Silent},
		"many silent, just accepted":                {silent: Group{17, 10 * ms}, idle: Group{1, 0}, want: Silent},
		"many partial, one stalled":                 {partial: Group{17, 600 * ms}, idle: Group{1, 0}, want: Half},
		"many partial, none stalled":                {partial: Group{40, 300 * ms}, idle: Group{1, 0}, want: Half},
		"many sending, one idle":                    {partial: Group{16, time.Second}, sending: Group{40, 300 * ms}, idle: Group{1, 0}, want: Resting},
		"many sending, new ones":                    {silent: Group{1, ms}, partial: Group{1, ms}, sending: Group{40, 300 * ms}, want: Half},
		"only sending":                              {sending: Group{40, 300 * ms}, want: Writing},
		"partial ones that have just sent, one new": {silent: Group{1, ms}, partial: Group{40, 20 * ms}, want: Half},
		"few silent, none idle":                     {silent: Group{1, 60 * ms}, partial: Group{2, 400 * ms}, want: Silent},
		"only new ones":                             {silent: Group{40, ms}, want: Silent},
	} {
		if kind := Evict(64, c.silent, c.partial, c.sending, c.idle); kind != c.want {
			t.Errorf("%s: %d, want %d", name, kind, c.want)
		}
	}
}

// TestEvictedKindExists: for any numbers of connections there is one of the kind that makes room, and Nobody
// only where there is none at all.
func TestEvictedKindExists(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		group := rapid.Custom(func(r *rapid.T) Group {
			return Group{rapid.IntRange(0, 100).Draw(r, "count"), time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(r, "quiet"))}
		})
		silent, partial, sending, idle := group.Draw(r, "silent"), group.Draw(r, "partial"), group.Draw(r, "sending"), group.Draw(r, "idle")
		kind := Evict(64, silent, partial, sending, idle)
		n := map[Kind]int{Silent: silent.Count, Half: partial.Count, Writing: sending.Count, Resting: idle.Count}
		if none := n[Silent]+n[Half]+n[Writing]+n[Resting] == 0; none != (kind == Nobody) || !none && n[kind] == 0 {
			r.Fatalf("kind %d of %v", kind, n)
		}
	})
}
