package config

import (
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"jasperpin/internal/limit"
)

// Bounds of a file and of its values. They reject errors such as a wrong unit, and prevent a file from
// exhausting the node's memory.
const (
	maxFileBytes    = 32 << 20  // a file of the largest supported size with every key set has 24 MB
	maxEntries      = 10_000    // maximum number each of services, pools, routes, servers, classes and tenants
	maxDuration     = time.Hour // longest time of any key that has no bound of its own
	maxRate         = 1e9       // requests per second
	maxRequestsHeld = 1 << 24   // maximum number of slots, and of queued requests
	maxCores        = 4096
	minCores        = 0.01
	maxMemoryBytes  = 1 << 44
	maxDescriptors  = 1 << 24
)

// Defaults of [limits], suitable for a small virtual machine.
const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 1024
)

// Load reads a configuration file. File names in it are relative to its directory. Errors in the text are
// returned as Errors.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(filepath.Base(path), text)
	if err != nil {
		return nil, err
	}
	resolvePaths(filepath.Dir(path),
		&c.Planning.Files.Certificate, &c.Planning.Files.Key, &c.Planning.Files.Authorities,
		&c.Cluster.Files.Certificate, &c.Cluster.Files.Key, &c.Cluster.Files.Authorities, &c.Cluster.Directory,
		&c.Keys.File, &c.Members.Directory,
		&c.Remote.Files.Certificate, &c.Remote.Files.Key, &c.Remote.Files.Authorities, &c.Remote.Directory,
	)
	return c, nil
}

// resolvePaths joins relative file names to a directory. Absolute and empty names stay unchanged.
func resolvePaths(directory string, names ...*string) {
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(directory, *name)
		}
	}
}

// Parse reads the text of a configuration file. Name is the file name in its errors, which are Errors.
func Parse(name string, text []byte) (*Config, error) {
	r, root := open(name, text)
	if root == nil {
		return nil, r.result()
	}
	return readRoot(r, root)
}

// readRoot reads all tables of a file.
func readRoot(r *reader, root *table) (*Config, error) {
	c := &Config{PoolsShareLimits: true}
	c.readNode(root)
	c.readLimits(root)
	c.readPlanning(root)
	c.readKeys(root)
	c.readCluster(root)
	c.readMembers(root)
	c.readRemote(root)
	if !c.Remote.Enabled() {
		c.readPoolsAndServices(root, func(*table) {})
		c.checkServices(root)
	}
	root.reportUnknownKeys()
	root.decodeUnread()
	c.checkRoutes(r)
	return c, r.result()
}

// readNode reads [node].
func (c *Config) readNode(root *table) {
	t := root.table("node")
	c.Name = t.name("node")
	c.Listen = t.texts("listen", "an address and port such as 127.0.0.1:8080", isAddress)
	c.Role = Role(t.choice("role", string(Standalone), string(Standalone), string(Forwarder), string(Planner)))
	if c.Role == Forwarder && t.values["name"] == nil {
		t.fail("name", "is missing: want a name that no other forwarder of the tier has")
	}
	switch {
	case c.Role == Planner && len(c.Listen) > 0:
		t.fail("listen", "is not allowed for a planner, which serves no clients: want only planning.listen")
	case t.values != nil && len(c.Listen) == 0 && c.Role != Planner:
		t.fail("listen", "is missing: want at least one address and port, such as [\"127.0.0.1:8080\"]")
	}
	c.AdminAddress = t.text("control", "", "an address and port such as 127.0.0.1:9800, or unix:/PATH", isAdminAddress)
	c.PrivateDirectory = t.text("private", "", "the absolute path of a folder", filepath.IsAbs)
	c.readNodeIndex(root, t)
	c.Seed = uint64(t.count("seed", 0, 0, math.MaxInt32)) ^ seedOf(c.Name, c.NodeIndex)
	if root.values["node"] == nil {
		root.fail("node", "is missing: want a table [node] with name and listen")
	}
	t.reportUnknownKeys()
}

// readNodeIndex reads the node's index and the number of nodes, unless [members] determines them.
func (c *Config) readNodeIndex(root, t *table) {
	c.NodeIndex, c.NodeCount = t.count("number", 0, 0, math.MaxUint16), t.count("nodes", 1, 1, math.MaxUint16)
	for _, key := range []string{"number", "nodes"} {
		if root.values["members"] != nil && t.values[key] != nil {
			t.fail(key, "is not allowed together with [members], which determines it: want one of the two")
		}
	}
	if c.NodeIndex >= c.NodeCount {
		t.fail("number", "is %d of %d nodes: want 0 to %d", c.NodeIndex, c.NodeCount, c.NodeCount-1)
	}
}

// seedOf returns a seed that differs between the nodes of a fleet, by name or index. With the same random
// numbers all nodes would choose the same server at the same time.
func seedOf(name string, number int) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, name, " ", number)
	return h.Sum64()
}

// readLimits reads [limits].
func (c *Config) readLimits(root *table) {
	t := root.table("limits")
	c.Limits = limit.Machine{
		Cores:       t.number("cores", 1, minCores, maxCores),
		Memory:      t.size("memory", defaultMemoryBytes, limit.MinNodeMemory, maxMemoryBytes),
		Descriptors: t.count("descriptors", defaultDescriptors, limit.MinNodeDescriptors, maxDescriptors),
	}
	if want := c.Limits.MinMemory(); c.Limits.Memory < want {
		t.fail("memory", "is too little for %d descriptors: want at least %dMB, or fewer descriptors", c.Limits.Descriptors, want>>20+1)
	}
	t.reportUnknownKeys()
}

// readPoolsAndServices reads [[pool]] and [[service]]. It passes each of these tables to visit first.
func (c *Config) readPoolsAndServices(root *table, visit func(*table)) {
	pools := &poolSet{byName: make(map[string]*Pool)}
	for t := range root.tables("pool") {
		visit(t)
		p := readPool(t)
		p.Settings.NodeIndex, p.Settings.NodeCount = c.NodeIndex, c.NodeCount
		if pools.byName[p.Name] != nil {
			t.fail("name", "%q is used twice: want a unique name for each pool", p.Name)
		}
		pools.byName[p.Name] = &p
		c.Pools = append(c.Pools, p)
	}
	c.setShares(root)
	names := make(map[string]bool)
	for t := range root.tables("service") {
		visit(t)
		s := readService(t, pools)
		if names[s.Name] {
			t.fail("name", "%q is used twice: want a unique name for each service", s.Name)
		}
		names[s.Name] = true
		c.Services = append(c.Services, s)
	}
}

// checkServices reports services of a planner, or the lack of services of another role.
func (c *Config) checkServices(root *table) {
	switch {
	case c.Role == Planner && len(c.Services) > 0:
		root.fail("service", "is not allowed for a planner, which serves no clients: want only pools")
	case len(c.Services) == 0 && c.Role != Planner:
		root.fail("service", "is missing: want at least one [[service]]")
	}
}

// checkRoutes reports conflicts between routes, if the file has no other errors.
func (c *Config) checkRoutes(r *reader) {
	if r.syntaxError != nil || len(r.errors) > 0 {
		return
	}
	if _, err := c.Table(); err != nil {
		r.addRouteErrors(err)
	}
}

// isAdminAddress reports whether a text is an address on which the admin server can listen.
func isAdminAddress(text string) bool {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		return filepath.IsAbs(path)
	}
	return isAddress(text)
}
