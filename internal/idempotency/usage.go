package idempotency

// usage counts what a tenant has in a Store, or all together.
type usage struct {
	entries int
	bytes   int64
}

// Usage returns how many keys there are, and the bytes that they count for.
func (s *Store) Usage() (entries int, bytes int64) { return s.total.entries, s.total.bytes }

// fits reports whether a tenant may have so much more.
func (s *Store) fits(tenant string, entries int, bytes int64) bool {
	var used usage
	if u := s.tenants[tenant]; u != nil {
		used = *u
	}
	share := s.settings.TenantShare
	maxEntries := max(1, int(share*float64(s.settings.MaxKeys)))
	maxBytes := int64(share * float64(s.settings.MaxBytes))
	return s.total.entries+entries <= s.settings.MaxKeys && s.total.bytes+bytes <= s.settings.MaxBytes &&
		used.entries+entries <= maxEntries && used.bytes+bytes <= maxBytes
}

// count adds to what a tenant has, and to the total.
func (s *Store) count(tenant string, entries int, bytes int64) {
	u := s.tenants[tenant]
	if u == nil {
		u = &usage{}
		s.tenants[tenant] = u
	}
	u.entries += entries
	u.bytes += bytes
	s.total.entries += entries
	s.total.bytes += bytes
	if u.entries == 0 {
		delete(s.tenants, tenant)
	}
}
