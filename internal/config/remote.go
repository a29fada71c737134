package config

import "jasperpin/internal/mtls"

// Remote is where the node's pools and services come from, in the place of its file. One without
// relays has them in the file.
type Remote struct {
	Relays []Relay
	// Zone and Region are the node's own: it prefers relays that share them.
	Zone, Region string
	Folder       string // for the copy that it starts from; "" for none
	Files        mtls.Files
}

// Relay is one that the node may ask.
type Relay struct{ Name, Address, Zone, Region string }

// On says whether pools and services come from relays.
func (r Remote) On() bool { return len(r.Relays) > 0 }

// maxRelays bounds the relays of a node, of which it asks two at a time at the most.
const maxRelays = 64

// readRemote reads where pools and services come from.
func (c *Config) readRemote(root *table) {
	t := root.table("config")
	if t.m == nil {
		return
	}
	some := func(s string) bool { return s != "" }
	place := func(t *table, key string) string { return t.text(key, "", "the name of a place", isWord) }
	c.Remote = Remote{
		Zone: place(t, "zone"), Region: place(t, "region"),
		Folder: t.text("folder", "", "the path of a folder", some), Files: readFiles(t),
	}
	for _, key := range []string{"relay", "certificate", "key", "authorities"} {
		t.must(key)
	}
	names := make(map[string]bool)
	for r := range t.tables("relay") {
		r.must("address")
		at := r.text("address", "", "an address and port such as 127.0.0.1:7810", isAddr)
		relay := Relay{r.text("name", at, "a name", isWord), at, place(r, "zone"), place(r, "region")}
		if names[relay.Name] {
			r.fail("name", "%q stands for two relays: want another name for each", relay.Name)
		}
		names[relay.Name] = true
		r.done()
		c.Remote.Relays = append(c.Remote.Relays, relay)
	}
	if n := len(c.Remote.Relays); n > maxRelays {
		t.fail("relay", "stands %d times: want %d at the most", n, maxRelays)
	}
	if root.table("node").m["name"] == nil {
		t.fail("relay", "stands with a node that has no name: want node.name, which no other node has")
	}
	if c.Role == Planner {
		t.fail("relay", "stands with a planner, whose pools are in its file: want no [config]")
	}
	for _, key := range []string{"service", "pool"} {
		if root.get(key) != nil {
			root.fail(key, "stands beside [config], by which the node knows it: want one of the two")
		}
	}
	t.done()
}

// readFiles reads what a node shows the other end, and whose certificates it believes.
func readFiles(t *table) mtls.Files {
	some := func(s string) bool { return s != "" }
	return mtls.Files{
		Certificate: t.text("certificate", "", "the name of a file in PEM", some),
		Key:         t.text("key", "", "the name of a file in PEM", some),
		Authorities: t.text("authorities", "", "the name of a file in PEM", some),
	}
}
