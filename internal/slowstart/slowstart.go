// Package slowstart holds a fleet to what a server that has just started bears: within any window
// of the settings' time all nodes together may send it a multiple of what it can do then.
package slowstart

import (
	"math"
	"time"
)

// Rule is what the settings allow: so many times its present capacity, within a window.
type Rule struct {
	Multiple float64
	Window   time.Duration
}

// Budget is what a server may be sent within a window, in requests of mean work, that answers so
// many of them a second now.
func (r Rule) Budget(rate float64) float64 { return r.Multiple * rate * r.Window.Seconds() }

// Chance is how far beyond its budget a server may be sent by chance.
func Chance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// Peak is a window.
type Peak struct {
	Sent, Told float64       // in requests of mean work; of these, by nodes that were told of the start
	Budget     float64       // at its end
	At         time.Duration // its end
}

// Excess is what was sent beyond the budget, in units of what is chance: over 1 the server falls.
func (p Peak) Excess() float64 { return (p.Sent - p.Budget) / Chance(p.Budget) }

// Ratio is what was sent, in budgets.
func (p Peak) Ratio() float64 { return p.Sent / p.Budget }

// Broke says whether the fall is held against the nodes: over two thirds came from those told.
func (p Peak) Broke() bool { return p.Excess() > 1 && p.Told > p.Sent*2/3 }

// arrival is one request.
type arrival struct {
	at   time.Duration
	work float64
	told bool
}

// Watch follows one start of one server. Arrivals come in order of time.
type Watch struct {
	Rule
	recent     []arrival
	sent, told float64
	Worst      Peak  // by Excess
	Ratios     Peak  // by Ratio
	Fall       *Peak // the first, if it fell
}

// Arrive takes a request of so much work, in requests of mean work, that reached a server which
// answers so many of them a second now. It gives the window that ends with it.
func (w *Watch) Arrive(at time.Duration, rate, work float64, told bool) Peak {
	w.recent = append(w.recent, arrival{at, work, told})
	w.count(work, told)
	for at-w.recent[0].at >= w.Window {
		w.count(-w.recent[0].work, w.recent[0].told)
		w.recent = w.recent[1:]
	}
	p := Peak{Sent: w.sent, Told: w.told, Budget: w.Budget(rate), At: at}
	if w.Worst.Budget == 0 || p.Excess() > w.Worst.Excess() {
		w.Worst = p
	}
	if w.Ratios.Budget == 0 || p.Ratio() > w.Ratios.Ratio() {
		w.Ratios = p
	}
	if w.Fall == nil && p.Excess() > 1 {
		w.Fall = &p
	}
	return p
}

func (w *Watch) count(work float64, told bool) {
	w.sent += work
	if told {
		w.told += work
	}
}

// Sum is what came of many starts.
type Sum struct {
	Starts, Fell, Broke int
	Excess, Ratio       float64 // the worst
	Least               float64 // the least budget of a window
}

// Merge takes what came of others.
func (s *Sum) Merge(o Sum) {
	if o.Starts == 0 {
		return
	}
	if s.Starts == 0 {
		*s = o
		return
	}
	s.Starts, s.Fell, s.Broke = s.Starts+o.Starts, s.Fell+o.Fell, s.Broke+o.Broke
	s.Excess, s.Ratio, s.Least = max(s.Excess, o.Excess), max(s.Ratio, o.Ratio), min(s.Least, o.Least)
}

// Add takes a start that is over.
func (s *Sum) Add(w *Watch) {
	if w.Worst.Budget == 0 {
		return // nothing was sent there
	}
	o := Sum{Starts: 1, Excess: w.Worst.Excess(), Ratio: w.Ratios.Ratio(), Least: w.Worst.Budget}
	if w.Fall != nil {
		o.Fell = 1
		if w.Fall.Broke() {
			o.Broke = 1
		}
	}
	s.Merge(o)
}
