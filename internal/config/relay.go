package config

import (
	"fmt"
	"os"
	"path/filepath"

	"jasperpin/internal/mtls"
)

// Distribution is how a configuration is agreed on and carried to nodes: what operators' calls and a
// relay need of a file.
type Distribution struct {
	Name    string // of the relay
	Cluster Cluster
	Own     OwnRelay
	Relays  []StatusRelay
	Files   mtls.Files // for relays and whom they serve
}

// OwnRelay is the relay that a process is. One that listens nowhere is none.
type OwnRelay struct {
	Listen  string // for nodes
	Status  string // where it tells operators how things stand
	Folder  string // of its copy; "" for none
	Streams int    // the most nodes
}

// StatusRelay is a relay, and where operators ask how things stand with it; "" for nowhere.
type StatusRelay struct {
	Relay
	Status string
}

const (
	// defaultStreams is six times a relay's share of 2,600 nodes over 15.
	defaultStreams = 1024
	maxStreams     = 1 << 16
)

// LoadDistribution reads [node], [cluster] and [config] of a file, whatever else it has. Its error is
// Mistakes where the text is at fault.
func LoadDistribution(path string) (*Distribution, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	d, err := parseDistribution(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	for _, file := range []*string{
		&d.Cluster.Files.Certificate, &d.Cluster.Files.Key, &d.Cluster.Files.Authorities, &d.Cluster.Folder,
		&d.Files.Certificate, &d.Files.Key, &d.Files.Authorities, &d.Own.Folder,
	} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	return d, nil
}

func parseDistribution(name string, text []byte) (*Distribution, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	c := &Config{}
	d := &Distribution{Name: root.table("node").word("name", "node")}
	if c.readCluster(root); !c.Cluster.On() && root.m["cluster"] == nil {
		root.fail("cluster", "is missing: want a table [cluster] with voters, certificate, key and authorities")
	}
	d.Cluster = c.Cluster
	d.readConfig(root)
	return d, r.result()
}

func (d *Distribution) readConfig(root *table) {
	t := root.table("config")
	if t.m == nil {
		return
	}
	const addr = "an address and port such as 127.0.0.1:7850"
	d.Own = OwnRelay{
		Listen:  t.text("listen", "", addr, isAddr),
		Status:  t.text("status", "", addr, isAddr),
		Folder:  t.text("folder", "", "the path of a folder", func(s string) bool { return s != "" }),
		Streams: t.count("streams", defaultStreams, 1, maxStreams),
	}
	d.Files = readFiles(t)
	for _, key := range []string{"certificate", "key", "authorities"} {
		t.must(key)
	}
	if d.Own.Listen == "" {
		for _, key := range []string{"status", "folder", "streams"} {
			if t.m[key] != nil {
				t.fail(key, "stands without listen: it is a relay's own")
			}
		}
	}
	names := make(map[string]bool)
	for at := range t.tables("relay") {
		place := func(key string) string { return at.text(key, "", "the name of a place", isWord) }
		one := StatusRelay{Status: at.text("status", "", addr, isAddr)}
		one.Address = at.text("address", "", addr, isAddr)
		one.Name, one.Zone, one.Region = at.text("name", one.Address, "a name", isWord), place("zone"), place("region")
		at.must("address")
		if names[one.Name] {
			at.fail("name", "%q is used twice: want another name for each relay", one.Name)
		}
		names[one.Name] = true
		d.Relays = append(d.Relays, one)
		at.done()
	}
	if len(d.Relays) > maxRelays {
		t.fail("relay", "stands %d times: want %d at the most", len(d.Relays), maxRelays)
	}
	t.done()
}
