package node

import (
	"errors"
	"fmt"
	"jasperpin/internal/platform"
	"jasperpin/internal/standin"
	"jasperpin/internal/standin/check"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestReloadMovesDiscovery replaces the configuration's discovery and sends
// SIGHUP: the new one is asked for the whole list and traffic follows it.
func TestReloadMovesDiscovery(t *testing.T) {
	a, b := check.Raw(t, standin.Echo), check.Raw(t, standin.Echo)
	n := startNode(t, nil, a.Addr)
	if status, body, _ := n.once(look("r1")); status != 200 || body != "r1 " {
		t.Fatalf("before the reload: %d %q", status, body)
	}
	d := discoveryOf(t, b.Addr)
	n.raw["discovery"] = d.Addr
	n.write()
	n.reload()
	id := 0
	check.Eventually(t, "traffic at the new server", func() bool {
		id++
		if status, _, _ := n.once(look(fmt.Sprint("m", id))); status != 200 {
			t.Fatalf("during the reload: %d", status)
		}
		return b.Got.Load() > 0
	})
	if d.Calls.Load() == 0 {
		t.Error("the new discovery was never called")
	}
}

// TestReloadKeepsTheOldOnABadFile sends SIGHUP over files that cannot be read,
// many times over: the node serves on and says why.
func TestReloadKeepsTheOldOnABadFile(t *testing.T) {
	a := check.Raw(t, standin.Echo)
	n := startNode(t, nil, a.Addr)
	n.write()
	good := fmt.Sprintf("%q", n.raw["name"])
	for i, text := range []string{"", "{", `{"name":` + good, "null", "[]", `{"name":"n0","listen":"x"}`, "\x00\xff"} {
		n.writeText(text)
		n.reload()
		check.Eventually(t, "the complaint is logged", func() bool {
			return strings.Count(n.logged.String(), "reload failed") == i+1
		})
		if status, body, _ := n.once(look(fmt.Sprint("b", i))); status != 200 {
			t.Fatalf("after %q: %d %q", text, status, body)
		}
	}
	n.write()
	for range 50 {
		n.reload()
	}
	check.Eventually(t, "a good file is taken again", func() bool { return strings.Contains(n.logged.String(), "msg=reloaded") })
	if status, _, _ := n.once(look("last")); status != 200 {
		t.Fatalf("after many reloads: %d", status)
	}
}

// TestConfigWithRemains refuses a shorter text written over a longer one.
func TestConfigWithRemains(t *testing.T) {
	n := &testNode{t: t, file: filepath.Join(t.TempDir(), "config.json"), raw: testConfig("127.0.0.1:1", "127.0.0.1:2")}
	n.write()
	if _, err := platform.Load(n.env); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	n.writeText(string(text) + string(text[len(text)-10:]))
	if _, err := platform.Load(n.env); !errors.Is(err, platform.ErrConfig) {
		t.Errorf("remains behind the object: %v", err)
	}
}
