package config

import (
	"time"

	"jasperpin/internal/mtls"
)

// Cluster is the group that an instance belongs to. One without voters belongs to none.
type Cluster struct {
	Voters []string // where they are reached
	// Listen and Folder are a voter's own: where the others reach it, and its log.
	Listen, Folder string
	Files          mtls.Files
	Lease          time.Duration // how long an instance is there that says nothing
}

// On says whether the instance belongs to a group.
func (c Cluster) On() bool { return len(c.Voters) > 0 }

const (
	// maxVoters is the most that a group may have, with those that join as others leave.
	maxVoters    = 10
	defaultLease = 3 * time.Second
)

// readCluster reads the group that an instance belongs to.
func (c *Config) readCluster(root *table) {
	t := root.table("cluster")
	if t.m == nil {
		return
	}
	const addr = "an address and port such as 127.0.0.1:7800"
	some := func(s string) bool { return s != "" }
	c.Cluster = Cluster{
		Voters: t.texts("voters", addr, isAddr),
		Listen: t.text("listen", "", addr, isAddr),
		Folder: t.text("folder", "", "the path of a folder", some),
		Files:  readFiles(t),
		Lease:  t.time("lease", defaultLease, time.Second, time.Minute),
	}
	for _, key := range []string{"voters", "certificate", "key", "authorities"} {
		t.must(key)
	}
	if n := len(c.Cluster.Voters); n > maxVoters {
		t.fail("voters", "has %d entries: want %d at the most", n, maxVoters)
	}
	if (c.Cluster.Listen == "") != (c.Cluster.Folder == "") {
		t.fail("listen", "and folder go together: want both with a voter, and neither with another instance")
	}
	if root.table("node").m["name"] == nil {
		t.fail("voters", "stands with a node that has no name: want node.name, which no other instance has")
	}
	t.done()
}
