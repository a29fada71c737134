package config

import (
	"fmt"
	"os"
	"path/filepath"

	"jasperpin/internal/mtls"
)

// Distribution is the part of a file that operators' commands and relays use: how a cluster agrees on a
// configuration, and how relays distribute it to nodes.
type Distribution struct {
	Name     string // the relay's name
	Cluster  Cluster
	OwnRelay OwnRelay
	Relays   []StatusRelay
	Files    mtls.Files // for relays and the nodes that they serve
}

// OwnRelay are the settings of the relay that the process runs; the zero value stands for none.
type OwnRelay struct {
	Listen    string // address for nodes
	Status    string // address at which the relay reports its state to operators; "" for none
	Directory string // directory of the relay's copy of the configuration; "" for none
	Streams   int    // maximum number of connected nodes
}

// StatusRelay is a relay, and the address at which it reports its state; "" for none.
type StatusRelay struct {
	Relay
	Status string
}

const (
	// defaultStreams equals configsync.DefaultMaxStreams; see there for the reason. This package does not
	// import configsync, which would add the transport and the consensus client to its dependencies.
	defaultStreams = 1024
	maxStreams     = 1 << 16
)

// LoadDistribution reads the tables [node], [cluster] and [config] of a file and ignores all others. File
// names in it are relative to its directory. Errors in the text are returned as Errors.
func LoadDistribution(path string) (*Distribution, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	d, err := parseDistribution(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	resolvePaths(filepath.Dir(path),
		&d.Cluster.Files.Certificate, &d.Cluster.Files.Key, &d.Cluster.Files.Authorities, &d.Cluster.Directory,
		&d.Files.Certificate, &d.Files.Key, &d.Files.Authorities, &d.OwnRelay.Directory,
	)
	return d, nil
}

func parseDistribution(name string, text []byte) (*Distribution, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	c := &Config{}
	d := &Distribution{Name: root.table("node").name("node")}
	c.readCluster(root)
	if !c.Cluster.Enabled() && root.values["cluster"] == nil {
		root.fail("cluster", "is missing: want a table [cluster] with voters, certificate, key and authorities")
	}
	d.Cluster = c.Cluster
	d.readConfig(root)
	return d, r.result()
}

// readConfig reads the [config] table of a relay.
func (d *Distribution) readConfig(root *table) {
	t := root.table("config")
	if t.values == nil {
		return
	}
	const address = "an address and port such as 127.0.0.1:7850"
	d.OwnRelay = OwnRelay{
		Listen:    t.text("listen", "", address, isAddress),
		Status:    t.text("status", "", address, isAddress),
		Directory: t.text("folder", "", "the path of a folder", isNotEmpty),
		Streams:   t.count("streams", defaultStreams, 1, maxStreams),
	}
	d.Files = readFiles(t)
	t.require("certificate", "key", "authorities")
	if d.OwnRelay.Listen == "" {
		for _, key := range []string{"status", "folder", "streams"} {
			if t.values[key] != nil {
				t.fail(key, "is not allowed without listen: it is a setting of a relay")
			}
		}
	}
	d.Relays = readRelays(t, func(entry *table) StatusRelay {
		return StatusRelay{Relay: readRelay(entry), Status: entry.text("status", "", address, isAddress)}
	}, func(r StatusRelay) string { return r.Name })
	t.reportUnknownKeys()
}
