package config

import "jasperpin/internal/mtls"

// Remote is where a node gets its pools and services from that are not in its file; zero with a node
// whose file has them.
type Remote struct {
	Relays []Relay
	// Zone and Region are the node's own: it prefers relays that share them.
	Zone, Region string
	Directory    string // of the copy that it starts from; "" for none
	Files        mtls.Files
}

// Relay is a relay that a node may follow.
type Relay struct{ Name, Address, Zone, Region string }

// Enabled reports whether pools and services come from relays.
func (r Remote) Enabled() bool { return len(r.Relays) > 0 }

// maxRelays bounds the relays of a node, of which it follows one and asks another.
const maxRelays = 64

// readRemote reads [config] of a node.
func (c *Config) readRemote(root *table) {
	t := root.table("config")
	if t.values == nil {
		return
	}
	c.Remote = Remote{
		Zone: t.zoneOrRegion("zone"), Region: t.zoneOrRegion("region"),
		Directory: t.text("folder", "", "the path of a folder", isNotEmpty), Files: readFiles(t),
	}
	t.require("relay", "certificate", "key", "authorities")
	c.Remote.Relays = readRelays(t, readRelay, func(r Relay) string { return r.Name })
	requireNodeName(root, t, "relay", "no other node")
	if c.Role == Planner {
		t.fail("relay", "is not allowed with a planner, whose pools are in its file: want no [config]")
	}
	for _, key := range []string{"service", "pool"} {
		if root.get(key) != nil {
			root.fail(key, "is not allowed beside [config], by which the node knows it: want one of the two")
		}
	}
	t.done()
}

// readRelays reads the [[config.relay]] tables, each with read. Their names have to differ.
func readRelays[R any](t *table, read func(*table) R, name func(R) string) (relays []R) {
	names := make(map[string]bool)
	for entry := range t.tables("relay") {
		r := read(entry)
		entry.require("address")
		if names[name(r)] {
			entry.fail("name", "%q names two relays: want another name for each", name(r))
		}
		names[name(r)] = true
		entry.done()
		relays = append(relays, r)
	}
	if len(relays) > maxRelays {
		t.fail("relay", "is there %d times: want %d at the most", len(relays), maxRelays)
	}
	return relays
}

// readRelay reads what every [[config.relay]] has. Its name is its address where it has none.
func readRelay(t *table) Relay {
	address := t.text("address", "", "an address and port such as 127.0.0.1:7810", isAddress)
	return Relay{Name: t.text("name", address, "a name", isWord), Address: address, Zone: t.zoneOrRegion("zone"), Region: t.zoneOrRegion("region")}
}

// zoneOrRegion reads the name of a zone or region.
func (t *table) zoneOrRegion(key string) string {
	return t.text(key, "", "the name of a place", isWord)
}
