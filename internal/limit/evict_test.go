package limit

import (
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

// TestEvictOrder: there are client connections of several kinds, with a limit of 64. KindToEvict chooses the kind by
// its documented order.
func TestEvictOrder(t *testing.T) {
	const millisecond = time.Millisecond
	for name, testCase := range map[string]struct {
		silent, partial, sending, idle ConnectionGroup
		want                           ConnectionKind
	}{
		"all have requests":                         {want: NothingToEvict},
		"one idle":                                  {idle: ConnectionGroup{1, 0}, want: IdleConnection},
		"few silent, one idle":                      {silent: ConnectionGroup{16, time.Second}, idle: ConnectionGroup{1, 0}, want: IdleConnection},
		"one silent among partial ones":             {silent: ConnectionGroup{1, 60 * millisecond}, partial: ConnectionGroup{40, 400 * millisecond}, idle: ConnectionGroup{1, 0}, want: SilentConnection},
		"many silent, some idle":                    {silent: ConnectionGroup{17, time.Second}, idle: ConnectionGroup{9, time.Hour}, want: SilentConnection},
		"many silent, just accepted":                {silent: ConnectionGroup{17, 10 * millisecond}, idle: ConnectionGroup{1, 0}, want: SilentConnection},
		"many partial, one stalled":                 {partial: ConnectionGroup{17, 600 * millisecond}, idle: ConnectionGroup{1, 0}, want: PartialConnection},
		"many partial, none stalled":                {partial: ConnectionGroup{40, 300 * millisecond}, idle: ConnectionGroup{1, 0}, want: PartialConnection},
		"many sending, one idle":                    {partial: ConnectionGroup{16, time.Second}, sending: ConnectionGroup{40, 300 * millisecond}, idle: ConnectionGroup{1, 0}, want: IdleConnection},
		"many sending, new ones":                    {silent: ConnectionGroup{1, millisecond}, partial: ConnectionGroup{1, millisecond}, sending: ConnectionGroup{40, 300 * millisecond}, want: PartialConnection},
		"only sending":                              {sending: ConnectionGroup{40, 300 * millisecond}, want: SendingConnection},
		"partial ones that have just sent, one new": {silent: ConnectionGroup{1, millisecond}, partial: ConnectionGroup{40, 20 * millisecond}, want: PartialConnection},
		"few silent, none idle":                     {silent: ConnectionGroup{1, 60 * millisecond}, partial: ConnectionGroup{2, 400 * millisecond}, want: SilentConnection},
		"only new ones":                             {silent: ConnectionGroup{40, millisecond}, want: SilentConnection},
	} {
		if kind := KindToEvict(64, testCase.silent, testCase.partial, testCase.sending, testCase.idle); kind != testCase.want {
			t.Errorf("%s: evicted a connection of kind %d, want %d", name, kind, testCase.want)
		}
	}
}

// TestEvictedKindExists: for any numbers of connections, there is a connection of the kind to evict, and the result
// is NothingToEvict only if there are no connections of any kind.
func TestEvictedKindExists(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		group := rapid.Custom(func(r *rapid.T) ConnectionGroup {
			return ConnectionGroup{rapid.IntRange(0, 100).Draw(r, "count"), time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(r, "quiet"))}
		})
		silent, partial, sending, idle := group.Draw(r, "silent"), group.Draw(r, "partial"), group.Draw(r, "sending"), group.Draw(r, "idle")
		kind := KindToEvict(64, silent, partial, sending, idle)
		n := map[ConnectionKind]int{SilentConnection: silent.Count, PartialConnection: partial.Count, SendingConnection: sending.Count, IdleConnection: idle.Count}
		if none := n[SilentConnection]+n[PartialConnection]+n[SendingConnection]+n[IdleConnection] == 0; none != (kind == NothingToEvict) || !none && n[kind] == 0 {
			r.Fatalf("evicted kind %d, with connections by kind %v", kind, n)
		}
	})
}
