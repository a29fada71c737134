package idempotency

// usage is the number and size of the keys of one tenant, or of all tenants.
type usage struct {
	entries int
	bytes   int64
}

// Usage returns the number of keys and their size in bytes, as counted against Settings.MaxBytes.
func (s *Store) Usage() (entries int, bytes int64) { return s.total.entries, s.total.bytes }

// fits reports whether a tenant may add this many entries and bytes.
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

// count adds entries and bytes, which may be negative, to the usage of a tenant and to the total.
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
