package config

import (
	"encoding/base64"
	"net/netip"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// Members is how a node meets the others of its fleet; zero where it meets none.
type Members struct {
	Listen      netip.AddrPort // UDP and TCP
	Advertise   netip.AddrPort // where others reach it; the zero value stands for Listen
	Seeds       []string       // addresses of some others
	Keys        [][]byte       // the first encrypts, each decrypts
	Zone        string
	Weight      float64       // of its quota among the members'
	BeginsFleet bool          // it begins the fleet
	EndedAfter  time.Duration // after which a member that is not heard of counts no more; 0 for never
	// RequiresLease says that the consensus group of [cluster] proves a member's end, and that a member
	// without its lease has no quota.
	RequiresLease  bool
	BytesPerSecond int    // of gossip a second, each way
	Directory      string // where this node's processes know of each other's incarnations; "" for none
}

// Enabled reports whether the node meets others.
func (m Members) Enabled() bool { return m.Listen.IsValid() }

const (
	maxSeeds      = 64
	maxMemberKeys = 8 // more than a rotation of keys needs
	// defaultGossipBytes a second are five times what 300 members need.
	defaultGossipBytes = 256 << 10
	// minGossipBytes a second are the least that carry a full exchange of 30 members.
	minGossipBytes = 16 << 10
	maxGossipBytes = 1 << 30
	// minEndedAfter is longer than a member may go unheard of without a fault.
	minEndedAfter = 10 * time.Second
	// maxMemberWeight bounds a weight, and its reciprocal.
	maxMemberWeight = 1000
)

// memberKeyBytes are the lengths of AES keys.
var memberKeyBytes = []int{16, 24, 32}

// readMembers reads [members].
func (c *Config) readMembers(root *table) {
	t := root.table("members")
	if t.values == nil {
		return
	}
	const address = "an address and port such as 127.0.0.1:7900"
	m := Members{
		Listen: t.address("listen", address), Advertise: t.address("advertise", address),
		Seeds:          t.texts("seeds", address, isAddress),
		Zone:           t.text("site", "", "a name of up to 128 letters", func(s string) bool { return isWord(s) && len(s) <= membership.MaxNameBytes }),
		Weight:         t.number("weight", 1, 1.0/maxMemberWeight, maxMemberWeight),
		BeginsFleet:    t.flag("first", false),
		EndedAfter:     t.time("gone", 0, 0, maxDuration),
		RequiresLease:  t.flag("group", false),
		BytesPerSecond: int(t.size("bytes", defaultGossipBytes, minGossipBytes, maxGossipBytes)),
		Directory:      t.text("folder", "", "the path of a folder", isNotEmpty),
	}
	t.require("listen")
	for _, text := range t.texts("keys", "16, 24 or 32 bytes in base64", isMemberKey) {
		key, _ := base64.StdEncoding.DecodeString(text) // isMemberKey decoded it
		m.Keys = append(m.Keys, key)
	}
	c.checkMembers(root, t, m)
	c.Members = m
	t.done()
}

// checkMembers reports what does not go together in [members].
func (c *Config) checkMembers(root, t *table, m Members) {
	switch {
	case len(m.Seeds) > maxSeeds:
		t.fail("seeds", "has %d entries: want %d at the most", len(m.Seeds), maxSeeds)
	case len(m.Seeds) == 0 && !m.BeginsFleet:
		t.fail("seeds", "is missing: want addresses of some others, or first = true for the one that begins the fleet")
	}
	if m.BeginsFleet && m.Directory == "" {
		t.fail("folder", "is missing: want one beside first, or a restart would begin a second fleet")
	}
	if len(m.Keys) > maxMemberKeys {
		t.fail("keys", "has %d entries: want %d at the most", len(m.Keys), maxMemberKeys)
	}
	if m.RequiresLease && !c.Cluster.Enabled() {
		t.fail("group", "is not allowed without a group: want [cluster] beside it")
	}
	if m.EndedAfter > 0 && m.EndedAfter < minEndedAfter {
		t.fail("gone", "is %v: want %v at the least, or 0 for never", m.EndedAfter, minEndedAfter)
	}
	if t.values["listen"] != nil && m.Listen.IsValid() && m.Listen.Addr().IsUnspecified() && !m.Advertise.IsValid() {
		t.fail("advertise", "is missing: want where others reach a node that listens at %s", m.Listen)
	}
	requireNodeName(root, t, "listen", "no other member")
}

// requireNodeName reports, with a key of a table, a node without a name of its own.
func requireNodeName(root, t *table, key, others string) {
	if root.table("node").values["name"] == nil {
		t.fail(key, "is not allowed with a node that has no name: want node.name, which %s has", others)
	}
}

// address reads an address and port, zero where there is none.
func (t *table) address(key, want string) netip.AddrPort {
	text := t.text(key, "", want, isAddress)
	if text == "" {
		return netip.AddrPort{}
	}
	return netip.MustParseAddrPort(text)
}

func isMemberKey(text string) bool {
	key, err := base64.StdEncoding.DecodeString(text)
	return err == nil && slices.Contains(memberKeyBytes, len(key))
}
