package limit

import (
	"testing"
	"time"

	_ "jasperpin/internal/seeded"

	"pgregory.net/rapid"
)

func TestEvict(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		silent, half, writing, resting Group
		want                           Kind
	}{
		"all hold requests":                  {want: Nobody},
		"a resting one":                      {resting: Group{1, 0}, want: Resting},
		"few silent ones beside resting":     {silent: Group{16, time.Second}, resting: Group{1, 0}, want: Resting},
		"a silent one among halves":          {silent: Group{1, 60 * ms}, half: Group{40, 400 * ms}, resting: Group{1, 0}, want: Silent},
		"many silent ones beside resting":    {silent: Group{17, time.Second}, resting: Group{9, time.Hour}, want: Silent},
		"a silent crowd that has just come":  {silent: Group{17, 10 * ms}, resting: Group{1, 0}, want: Silent},
		"many halves, one stalled":           {half: Group{17, 600 * ms}, resting: Group{1, 0}, want: Half},
		"many halves that have come of late": {half: Group{40, 300 * ms}, resting: Group{1, 0}, want: Half},
		"many that write beside resting":     {half: Group{16, time.Second}, writing: Group{40, 300 * ms}, resting: Group{1, 0}, want: Resting},
		"many that write, and newcomers":     {silent: Group{1, ms}, half: Group{1, ms}, writing: Group{40, 300 * ms}, want: Half},
		"those that write, alone":            {writing: Group{40, 300 * ms}, want: Writing},
		"halves of late and a newcomer":      {silent: Group{1, ms}, half: Group{40, 20 * ms}, want: Half},
		"few silent ones and nobody resting": {silent: Group{1, 60 * ms}, half: Group{2, 400 * ms}, want: Silent},
		"newcomers alone":                    {silent: Group{40, ms}, want: Silent},
	} {
		if kind := Evict(64, c.silent, c.half, c.writing, c.resting); kind != c.want {
			t.Errorf("%s: %d, want %d", name, kind, c.want)
		}
	}
}

// TestEvictIsThere has whoever is chosen be there, and nobody only where there is none.
func TestEvictIsThere(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		group := rapid.Custom(func(r *rapid.T) Group {
			return Group{rapid.IntRange(0, 100).Draw(r, "count"), time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(r, "quiet"))}
		})
		silent, half, writing, resting := group.Draw(r, "silent"), group.Draw(r, "half"), group.Draw(r, "writing"), group.Draw(r, "resting")
		kind := Evict(64, silent, half, writing, resting)
		n := map[Kind]int{Silent: silent.Count, Half: half.Count, Writing: writing.Count, Resting: resting.Count}
		if none := n[Silent]+n[Half]+n[Writing]+n[Resting] == 0; none != (kind == Nobody) || !none && n[kind] == 0 {
			r.Fatalf("kind %d of %v", kind, n)
		}
	})
}
