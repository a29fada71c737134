package discovery

import (
	"strings"
	"testing"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// FuzzList never panics, and what it tells entry by entry is what it gives in the
// end; a list that breaks off has told what came whole.
func FuzzList(f *testing.F) {
	const good = `{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","site":"a","block":3,"health":"in_service","share":1.0,"born_ms":0},{"host":"s-2","health":"terminated"}]}`
	f.Add(good)
	f.Add(good[:150])
	f.Add(strings.Replace(good, "in_service", "resting", 1))
	f.Add(`{"hosts":[],"seq":-1}`)
	f.Add(`{"hosts":[{"host":"x","dial":"nowhere"}],"seq":1,"whole":false}`)
	f.Fuzz(func(t *testing.T, text string) {
		var told []core.Endpoint
		l, err := decodeList(strings.NewReader(text), Zones{"a": 0}, func(h core.Endpoint) { told = append(told, h) })
		if len(told) != len(l.Endpoints) {
			t.Fatalf("%d told, %d given", len(told), len(l.Endpoints))
		}
		for _, h := range told {
			if h.Name == "" || h.State != decide.Gone && h.Addr == "" || h.StartedAtMS < 0 {
				t.Errorf("told of %+v", h)
			}
		}
		if _, again := Parse([]byte(text), nil); (again == nil) != (err == nil) {
			t.Errorf("read twice: %v and %v", err, again)
		}
	})
}
