package endpoints

// Row is one figure beside what is allowed.
type Row struct {
	What     string
	Is, Most float64
	Over     bool
}

// Served is the part of the requests asked that was answered in time.
func (r *Result) Served() float64 { return float64(r.InTime) / float64(max(1, r.Asked)) }

// Allowed holds a trial with so many servers against the same trial at the usual size, as the platform
// allows them to differ: times a factor, plus a part, plus a part for each thousand servers. Bytes of
// lists count where discovery tells changes alone. What has no answer, or a late one, is never allowed.
func Allowed(usual, r Result, servers int, news News) []Row {
	thousands := float64(servers) / 1000
	most := func(what string, is, was, times, plus, each float64) Row {
		row := Row{What: what, Is: is, Most: was*times + plus + each*thousands}
		row.Over = row.Is > row.Most
		return row
	}
	const mb, kb = 1 << 20, 1 << 10
	rows := []Row{
		most("processor time, s", r.CPU.Seconds(), usual.CPU.Seconds(), 1.4, 0.02, 0.03),
		most("peak memory, MB", float64(r.Peak)/mb, float64(usual.Peak)/mb, 1.5, 8, 4),
		most("descriptors", float64(r.Descriptors), float64(usual.Descriptors), 2, 40, 0),
		most("connections to servers", float64(r.Connections), float64(usual.Connections), 2.5, 40, 0),
		most("late or unanswered", float64(r.Late+r.Unanswered), 0, 0, 0, 0),
	}
	if news == Calm || news == Changes {
		rows = append(rows, most("bytes of lists, KB", float64(r.ListBytes)/kb, float64(usual.ListBytes)/kb, 2, 64, 500))
	}
	served := Row{What: "share served, at least", Is: r.Served(), Most: 0.85 * usual.Served()}
	served.Over = served.Is < served.Most
	return append(rows, served)
}
