package discovery

import (
	"strings"
	"testing"

	"jasperpin/decide"
	"jasperpin/internal/core"
)

// FuzzList: decoding does not panic on any text, and the servers passed to onEndpoint are those returned in the
// end, also if the list is truncated.
func FuzzList(f *testing.F) {
	const good = `{"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.18:8080","site":"a","block":3,"health":"in_service","share":1.0,"born_ms":0},{"host":"s-2","health":"terminated"}]}`
	f.Add(good)
	f.Add(good[:150])
	f.Add(strings.Replace(good, "in_service", "resting", 1))
	f.Add(`{"hosts":[],"seq":-1}`)
	f.Add(`{"hosts":[{"host":"x","dial":"nowhere"}],"seq":1,"whole":false}`)
	f.Fuzz(func(t *testing.T, text string) {
		var passed []core.Endpoint
		l, err := decodeList(strings.NewReader(text), Zones{"a": 0}, func(h core.Endpoint) { passed = append(passed, h) })
		if len(passed) != len(l.Endpoints) {
			t.Fatalf("%d servers were passed to onEndpoint and %d returned, want equal numbers", len(passed), len(l.Endpoints))
		}
		for _, h := range passed {
			if h.Name == "" || h.State != decide.Gone && h.Addr == "" || h.StartedAtMS < 0 {
				t.Errorf("onEndpoint was passed an invalid server %+v, want only valid ones", h)
			}
		}
		if _, again := ParseList([]byte(text), nil); (again == nil) != (err == nil) {
			t.Errorf("decoding the same text twice returned errors %v and %v", err, again)
		}
	})
}
