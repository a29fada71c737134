package config

import (
	"time"

	"jasperpin/internal/mtls"
)

// Cluster is the consensus group of an instance; the zero value stands for none.
type Cluster struct {
	Voters []string // voter addresses
	// Listen and Directory are set only for a voter: the address at which other instances connect to it,
	// and the directory of its log.
	Listen, Directory string
	Files             mtls.Files
	Lease             time.Duration // an instance that does not renew its lease for this time counts as ended
}

// Enabled reports whether the instance belongs to a group.
func (c Cluster) Enabled() bool { return len(c.Voters) > 0 }

const (
	// maxVoters is the maximum number of voters of a group, including those that join while others leave.
	maxVoters    = 10
	defaultLease = 3 * time.Second
	minLease     = time.Second
)

// readCluster reads [cluster].
func (c *Config) readCluster(root *table) {
	t := root.table("cluster")
	if t.values == nil {
		return
	}
	const address = "an address and port such as 127.0.0.1:7800"
	c.Cluster = Cluster{
		Voters:    t.texts("voters", address, isAddress),
		Listen:    t.text("listen", "", address, isAddress),
		Directory: t.text("folder", "", "the path of a folder", isNotEmpty),
		Files:     readFiles(t),
		Lease:     t.time("lease", defaultLease, minLease, maxShortTime),
	}
	t.require("voters", "certificate", "key", "authorities")
	if n := len(c.Cluster.Voters); n > maxVoters {
		t.fail("voters", "has %d entries: want at most %d", n, maxVoters)
	}
	if (c.Cluster.Listen == "") != (c.Cluster.Directory == "") {
		t.fail("listen", "and folder must be set together: want both for a voter, and neither for another instance")
	}
	requireNodeName(root, t, "voters", "no other instance")
	t.reportUnknownKeys()
}

// readFiles reads the names of the PEM files with a node's certificate and key, and with the authorities
// whose certificates it accepts.
func readFiles(t *table) mtls.Files {
	return mtls.Files{
		Certificate: t.text("certificate", "", "the name of a file in PEM", isNotEmpty),
		Key:         t.text("key", "", "the name of a file in PEM", isNotEmpty),
		Authorities: t.text("authorities", "", "the name of a file in PEM", isNotEmpty),
	}
}
