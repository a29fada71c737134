package platform

import (
	"errors"
	"testing"
)

// FuzzConfig: the parser does not panic on any text. Each accepted configuration can be served: its limits are
// within their bounds, and every class has a name.
func FuzzConfig(f *testing.F) {
	const good = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"7f","limits":{"cores":0.25,"memory_mb":48,"sockets":256},` +
		`"known":{"seq":5,"whole":true,"hosts":[]},"settings":{"zones":["a"],"classes":[{"name":"look","effect":"free","objectiveMs":1000,"deadlineMs":2000}]}}`
	f.Add(good)
	f.Add(good + good[len(good)-10:])
	f.Add(`{"limits":{"cores":"many"}}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := parseConfig([]byte(text), func(string) string { return "" })
		if err != nil {
			if !errors.Is(err, ErrConfig) {
				t.Errorf("%v does not wrap ErrConfig", err)
			}
			return
		}
		if c.Limits.ServerConnections() < 1 || c.Limits.HeapLimit() <= 0 || c.DialTimeout <= 0 || len(c.Classes) != len(c.Settings.Classes) {
			t.Errorf("accepted an invalid configuration: %+v", c)
		}
		if names := c.FieldsNeedingRestart(c); len(names) > 0 {
			t.Errorf("FieldsNeedingRestart of equal configurations returned %v", names)
		}
	})
}
