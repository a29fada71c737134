package config

import "jasperpin/internal/mtls"

// Remote are the relays from which a node receives its pools and services; zero for a node whose file
// contains them.
type Remote struct {
	Relays []Relay
	// Zone and Region are those of the node, which prefers relays in the same zone or region.
	Zone, Region string
	Directory    string // of the stored configuration with which the node starts; "" for none
	Files        mtls.Files
}

// Relay is a relay from which a node may receive the configuration.
type Relay struct{ Name, Address, Zone, Region string }

// Enabled reports whether pools and services come from relays.
func (r Remote) Enabled() bool { return len(r.Relays) > 0 }

// maxRelays is the maximum number of relays of a node, which follows one and asks another.
const maxRelays = 64

// readRemote reads the [config] table of a node.
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
		t.fail("relay", "is not allowed for a planner, whose pools are in its file: want no [config]")
	}
	for _, key := range []string{"service", "pool"} {
		if root.get(key) != nil {
			root.fail(key, "is not allowed together with [config], from whose relays the node receives it: want one of the two")
		}
	}
	t.reportUnknownKeys()
}

// readRelays reads the [[config.relay]] tables, each with read. Their names must be unique.
func readRelays[R any](t *table, read func(*table) R, name func(R) string) (relays []R) {
	names := make(map[string]bool)
	for entry := range t.tables("relay") {
		r := read(entry)
		entry.require("address")
		if names[name(r)] {
			entry.fail("name", "%q is the name of two relays: want a unique name for each", name(r))
		}
		names[name(r)] = true
		entry.reportUnknownKeys()
		relays = append(relays, r)
	}
	if len(relays) > maxRelays {
		t.fail("relay", "has %d entries: want at most %d", len(relays), maxRelays)
	}
	return relays
}

// readRelay reads the keys that every [[config.relay]] table may have. The name defaults to the address.
func readRelay(t *table) Relay {
	address := t.text("address", "", "an address and port such as 127.0.0.1:7810", isAddress)
	return Relay{Name: t.text("name", address, "a name", isName), Address: address, Zone: t.zoneOrRegion("zone"), Region: t.zoneOrRegion("region")}
}

// zoneOrRegion reads the name of a zone or region.
func (t *table) zoneOrRegion(key string) string {
	return t.text(key, "", "the name of a zone or region", isName)
}
