package endpoints

// Comparison is one cost of a trial and its limit.
type Comparison struct {
	What         string
	Value, Limit float64
	Over         bool // the cost is beyond the limit
}

// limit is the limit of a cost relative to the same cost at the usual number of servers, as the platform states
// it: a factor, an addend, and an addend per thousand servers.
type limit struct{ factor, addend, perThousand float64 }

const (
	megabyte = 1 << 20
	kilobyte = 1 << 10
	// minServedFactor is the least share of served requests, relative to the usual share.
	minServedFactor = 0.85
)

// Compare compares a trial with the same trial at the usual number of servers. Requests without an answer, or
// with a late one, are never allowed. Bytes of lists are compared only if discovery does not send complete
// lists.
func Compare(usual, r Result, servers int, updates UpdateMode) []Comparison {
	thousands := float64(servers) / 1000
	compare := func(what string, value, usual float64, l limit) Comparison {
		c := Comparison{What: what, Value: value, Limit: usual*l.factor + l.addend + l.perThousand*thousands}
		c.Over = c.Value > c.Limit
		return c
	}
	all := []Comparison{
		compare("processor time, s", r.CPU.Seconds(), usual.CPU.Seconds(), limit{1.4, 0.02, 0.03}),
		compare("peak memory, MB", float64(r.PeakMemory)/megabyte, float64(usual.PeakMemory)/megabyte, limit{1.5, 8, 4}),
		compare("descriptors", float64(r.Descriptors), float64(usual.Descriptors), limit{2, 40, 0}),
		compare("connections to servers", float64(r.Connections), float64(usual.Connections), limit{2.5, 40, 0}),
		compare("late or unanswered", float64(r.Late+r.Unanswered), 0, limit{}),
	}
	if updates == NoUpdates || updates == Changes {
		all = append(all, compare("bytes of lists, KB", float64(r.ListBytes)/kilobyte, float64(usual.ListBytes)/kilobyte, limit{2, 64, 500}))
	}
	served := Comparison{What: "share served, at least", Value: r.Served(), Limit: minServedFactor * usual.Served()}
	served.Over = served.Value < served.Limit
	return append(all, served)
}
