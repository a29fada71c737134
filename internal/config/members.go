package config

import (
	"encoding/base64"
	"net/netip"
	"slices"
	"time"

	"jasperpin/internal/membership"
)

// Members are the settings of a node's membership in a fleet; the zero value stands for none.
type Members struct {
	Listen      netip.AddrPort // address for UDP and TCP
	Advertise   netip.AddrPort // address at which other members reach the node; the zero value stands for Listen
	Seeds       []string       // addresses of other members
	Keys        [][]byte       // encryption keys: the first encrypts, all decrypt
	Zone        string
	Weight      float64       // weight relative to the other members' weights; determines the quota
	BeginsFleet bool          // whether the node starts the fleet
	EndedAfter  time.Duration // a member that is silent for this time counts as ended; 0 for never
	// RequiresLease reports whether the consensus group of [cluster] decides that a member has ended. A member
	// without a lease then has no quota.
	RequiresLease  bool
	BytesPerSecond int    // bytes of gossip per second, in each direction
	Directory      string // directory for the incarnations of this node's processes; "" for none
}

// Enabled reports whether the node is a member of a fleet.
func (m Members) Enabled() bool { return m.Listen.IsValid() }

const (
	maxSeeds      = 64
	maxMemberKeys = 8 // a key rotation needs fewer
	// defaultGossipBytes is the default gossip limit in bytes per second, five times the need of 300 members.
	defaultGossipBytes = 256 << 10
	// minGossipBytes is the smallest limit, in bytes per second, that allows a full exchange of 30 members.
	minGossipBytes = 16 << 10
	maxGossipBytes = 1 << 30
	// minEndedAfter is longer than a member may be silent without a failure.
	minEndedAfter = 10 * time.Second
	// maxMemberWeight is the largest weight; its reciprocal is the smallest one.
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
	members := Members{
		Listen: t.address("listen", address), Advertise: t.address("advertise", address),
		Seeds:          t.texts("seeds", address, isAddress),
		Zone:           t.text("site", "", "a name of up to 128 letters", func(s string) bool { return isName(s) && len(s) <= membership.MaxNameBytes }),
		Weight:         t.number("weight", 1, 1.0/maxMemberWeight, maxMemberWeight),
		BeginsFleet:    t.flag("first", false),
		EndedAfter:     t.time("gone", 0, 0, maxDuration),
		RequiresLease:  t.flag("group", false),
		BytesPerSecond: int(t.size("bytes", defaultGossipBytes, minGossipBytes, maxGossipBytes)),
		Directory:      t.text("folder", "", "the path of a folder", isNotEmpty),
	}
	t.require("listen")
	for _, text := range t.texts("keys", "16, 24 or 32 bytes in base64", isMemberKey) {
		key, _ := base64.StdEncoding.DecodeString(text) // cannot fail: isMemberKey accepted the text
		members.Keys = append(members.Keys, key)
	}
	c.checkMembers(root, t, members)
	c.Members = members
	t.reportUnknownKeys()
}

// checkMembers reports conflicts between the values of [members].
func (c *Config) checkMembers(root, t *table, members Members) {
	switch {
	case len(members.Seeds) > maxSeeds:
		t.fail("seeds", "has %d entries: want at most %d", len(members.Seeds), maxSeeds)
	case len(members.Seeds) == 0 && !members.BeginsFleet:
		t.fail("seeds", "is missing: want addresses of other members, or first = true for the node that starts the fleet")
	}
	if members.BeginsFleet && members.Directory == "" {
		t.fail("folder", "is missing: want it together with first, or a restart would start a second fleet")
	}
	if len(members.Keys) > maxMemberKeys {
		t.fail("keys", "has %d entries: want at most %d", len(members.Keys), maxMemberKeys)
	}
	if members.RequiresLease && !c.Cluster.Enabled() {
		t.fail("group", "is not allowed without a consensus group: want a table [cluster]")
	}
	if members.EndedAfter > 0 && members.EndedAfter < minEndedAfter {
		t.fail("gone", "is %v: want at least %v, or 0 for never", members.EndedAfter, minEndedAfter)
	}
	if t.values["listen"] != nil && members.Listen.IsValid() && members.Listen.Addr().IsUnspecified() && !members.Advertise.IsValid() {
		t.fail("advertise", "is missing: want the address at which others reach the node, since listen is %s", members.Listen)
	}
	requireNodeName(root, t, "listen", "no other member")
}

// requireNodeName reports at a key of a table that node.name is missing. Others names the nodes that must
// not have the same name.
func requireNodeName(root, t *table, key, others string) {
	if root.table("node").values["name"] == nil {
		t.fail(key, "is not allowed without node.name: want a name that %s has", others)
	}
}

// address reads an address and port; the zero value stands for a missing one.
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
