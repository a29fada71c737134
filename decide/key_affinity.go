package decide

import "maps"

const (
	// A key is assigned to at least minServersPerKey servers, so that one may fail, and to at most
	// maxServersPerKey.
	minServersPerKey = 2
	maxServersPerKey = 16
	// keyShareFactor times a key's share of the requests is the share of the local servers to which the key is assigned.
	keyShareFactor = 2
	// keyCountWindow is the number of requests over which a key's share is measured.
	keyCountWindow = 1000
	// minKeyCount is the minimum number of requests to divide by. With fewer, the key of a first request
	// would look hot.
	minKeyCount = 200
	// maxHotKeys bounds the number of keys whose servers are cached.
	maxHotKeys = 256
)

// keyAffinity sends requests with the same key to the same few local servers, which then have the key cached.
type keyAffinity struct {
	keyTree   rendezvousTree // tree of the local servers
	keyCounts map[uint64]int // decaying counts of the keys of requests
	keyTotal  int            // sum of keyCounts

	hotKeys        map[uint64][]*server // cached servers of the keys that are assigned to many servers
	hotKeysVersion uint64               // the version of keyTree for which hotKeys is valid
}

func newKeyAffinity() keyAffinity {
	return keyAffinity{keyCounts: make(map[uint64]int), hotKeys: make(map[uint64][]*server)}
}

// offerKeyServers offers the local servers to which a request's key is assigned, if it has one. All nodes
// compute the same servers. Servers in slow start are included, within their budgets: assigning the key
// to other servers for that time would move it twice.
func (b *Balancer) offerKeyServers(c *candidates) {
	key := c.request.Key
	if !b.settings.KeyAffinity || key == 0 {
		return
	}
	for _, s := range b.serversOfKey(key, b.serversPerKey(key)) {
		c.offer(s, true)
	}
}

// serversPerKey returns the number of servers to which a key is assigned. It grows with the key's share
// of the recent requests, so that a hot key does not overload its servers.
func (b *Balancer) serversPerKey(key uint64) int {
	local := len(b.local.servers)
	forShare := keyShareFactor * float64(b.keyCounts[key]) / float64(max(b.keyTotal, minKeyCount)) * float64(local)
	return min(minServersPerKey+int(forShare), local, maxServersPerKey)
}

// serversOfKey returns the n servers to which a key is assigned, in order of priority. The servers of a
// hot key are cached until the servers change, so that its requests examine no more servers in a large
// fleet than in a small one.
func (b *Balancer) serversOfKey(key uint64, n int) []*server {
	if b.hotKeysVersion != b.keyTree.version || len(b.hotKeys) >= maxHotKeys {
		b.hotKeysVersion = b.keyTree.version
		clear(b.hotKeys)
	}
	servers := b.hotKeys[key]
	for number := len(servers); number < n; number++ {
		s, examined := b.keyTree.choose(key, uint64(number))
		b.examined += examined
		servers = append(servers, s)
	}
	if n > minServersPerKey {
		b.hotKeys[key] = servers
	}
	return servers[:n]
}

// countKey counts a request's key. Every keyCountWindow requests it halves all counts.
func (b *Balancer) countKey(key uint64) {
	if key == 0 || !b.settings.KeyAffinity {
		return
	}
	b.keyCounts[key]++
	b.keyTotal++
	if b.keyTotal <= keyCountWindow {
		return
	}
	b.keyTotal = 0
	for k := range b.keyCounts {
		b.keyCounts[k] /= 2
		b.keyTotal += b.keyCounts[k]
	}
	maps.DeleteFunc(b.keyCounts, func(_ uint64, n int) bool { return n == 0 })
}
