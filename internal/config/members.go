package config

import (
	"encoding/base64"
	"net/netip"
	"time"

	"jasperpin/internal/membership"
)

// Members is how a node meets the others of its fleet. One that listens nowhere knows of none.
type Members struct {
	Listen    netip.AddrPort // UDP and TCP
	Advertise netip.AddrPort // where others reach it; the zero value stands for Listen
	Seeds     []string
	Keys      [][]byte // the first encrypts, each decrypts
	Site      string
	Weight    float64
	First     bool          // it begins the fleet
	Gone      time.Duration // after which one that is not heard counts no more; 0 for never
	Group     bool          // the word of [cluster]'s group proves an end, and a member without its lease has no part
	Bytes     int           // a second each way
	Folder    string        // where this node's processes know of each other's lives; "" for nowhere
}

// On says whether the node meets others.
func (m Members) On() bool { return m.Listen.IsValid() }

const (
	maxSeeds       = 64
	maxMemberKeys  = 8
	defaultGossip  = 256 << 10 // bytes a second: 300 members need some 50 KiB
	leastGossip    = 16 << 10  // less does not carry a full exchange of 30
	leastGone      = 10 * time.Second
	maxMemberShare = 1000
)

// readMembers reads how a node meets the others of its fleet.
func (c *Config) readMembers(root *table) {
	t := root.table("members")
	if t.m == nil {
		return
	}
	const addr = "an address and port such as 127.0.0.1:7900"
	address := func(key string) (at netip.AddrPort) {
		if text := t.text(key, "", addr, func(s string) bool { _, err := netip.ParseAddrPort(s); return err == nil }); text != "" {
			at = netip.MustParseAddrPort(text)
		}
		return at
	}
	m := Members{
		Listen: address("listen"), Advertise: address("advertise"),
		Seeds:  t.texts("seeds", addr, isAddr),
		Site:   t.text("site", "", "a name of up to 128 letters", func(s string) bool { return isWord(s) && len(s) <= membership.MaxText }),
		Weight: t.number("weight", 1, 1.0/maxMemberShare, maxMemberShare),
		First:  t.flag("first", false),
		Gone:   t.time("gone", 0, 0, maxTime),
		Group:  t.flag("group", false),
		Bytes:  int(t.size("bytes", defaultGossip, leastGossip, 1<<30)),
		Folder: t.text("folder", "", "the path of a folder", func(s string) bool { return s != "" }),
	}
	t.must("listen")
	for _, text := range t.texts("keys", "16, 24 or 32 bytes in base64", isMemberKey) {
		key, _ := base64.StdEncoding.DecodeString(text) // it is one
		m.Keys = append(m.Keys, key)
	}
	switch {
	case len(m.Seeds) > maxSeeds:
		t.fail("seeds", "has %d entries: want %d at the most", len(m.Seeds), maxSeeds)
	case len(m.Seeds) == 0 && !m.First:
		t.fail("seeds", "is missing: want addresses of some others, or first = true for the one that begins the fleet")
	}
	if m.First && m.Folder == "" {
		t.fail("folder", "is missing: want one beside first, or a restart would begin a second fleet")
	}
	if len(m.Keys) > maxMemberKeys {
		t.fail("keys", "has %d entries: want %d at the most", len(m.Keys), maxMemberKeys)
	}
	if m.Group && !c.Cluster.On() {
		t.fail("group", "stands without a group: want [cluster] beside it")
	}
	if m.Gone > 0 && m.Gone < leastGone {
		t.fail("gone", "is %v: want %v at the least, or 0 for never", m.Gone, leastGone)
	}
	if t.m["listen"] != nil && m.Listen.IsValid() && m.Listen.Addr().IsUnspecified() && !m.Advertise.IsValid() {
		t.fail("advertise", "is missing: want where others reach a node that listens at %s", m.Listen)
	}
	if root.table("node").m["name"] == nil {
		t.fail("listen", "stands with a node that has no name: want node.name, which no other member has")
	}
	c.Members = m
	t.done()
}

func isMemberKey(text string) bool {
	key, err := base64.StdEncoding.DecodeString(text)
	return err == nil && (len(key) == 16 || len(key) == 24 || len(key) == 32)
}
