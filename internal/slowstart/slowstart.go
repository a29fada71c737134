// Package slowstart measures whether a fleet keeps to what a server in slow start bears. A server that has
// just started has less than its capacity, and all nodes together may send it a multiple of what it can do
// at the time, within any window of a fixed length. The decisions that keep to this are package decide's;
// this package checks them, for simulations and for emulated servers. It is pure.
package slowstart

import (
	"math"
	"time"
)

// Rule is what a server in slow start bears: a multiple of its present capacity, within a window.
type Rule struct {
	Multiple float64
	Window   time.Duration
}

// Budget is what a server may be sent within a window, in requests of mean work, where it answers rate of
// them a second now.
func (r Rule) Budget(rate float64) float64 { return r.Multiple * rate * r.Window.Seconds() }

// Chance is how far beyond its budget a server may be sent by chance, in requests of mean work: nodes that
// do not coordinate send like a Poisson process.
func Chance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// Peak is the load of one window, in requests of mean work.
type Peak struct {
	Sent   float64
	Told   float64       // of Sent, by nodes that had been informed of the start
	Budget float64       // at the window's end
	At     time.Duration // the window's end
}

// Excess is what was sent beyond the budget, in units of what may come by chance: over 1 the server is
// overloaded.
func (p Peak) Excess() float64 { return (p.Sent - p.Budget) / Chance(p.Budget) }

// Ratio is what was sent, in budgets.
func (p Peak) Ratio() float64 { return p.Sent / p.Budget }

// Broke reports whether the window overloaded its server and the nodes are at fault: over two thirds of it
// came from those that had been informed of the start.
func (p Peak) Broke() bool { return p.Excess() > 1 && p.Told > p.Sent*2/3 }

// arrival is one request.
type arrival struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool    // its node had been informed of the start
}

// Watch follows one start of one server. The zero value with a Rule is ready for use.
type Watch struct {
	Rule
	recent         []arrival // within the window
	sent, informed float64   // the sums over recent
	Worst          Peak      // the window with the highest Excess
	Ratios         Peak      // the window with the highest Ratio
	Fall           *Peak     // the first window that overloaded the server, nil for none
}

// Arrive takes a request that reached the server, and returns the window that ends with it. Requests must
// come in order of time. Rate is how many requests of mean work the server answers a second now, work the
// request's work against the mean, and informed says that its node had been informed of the start.
func (w *Watch) Arrive(at time.Duration, rate, work float64, informed bool) Peak {
	w.recent = append(w.recent, arrival{at, work, informed})
	w.count(work, informed)
	w.dropBefore(at - w.Window)
	p := Peak{Sent: w.sent, Told: w.informed, Budget: w.Budget(rate), At: at}
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

// dropBefore removes the arrivals up to a time from the window.
func (w *Watch) dropBefore(start time.Duration) {
	for w.recent[0].at <= start {
		w.count(-w.recent[0].work, w.recent[0].informed)
		w.recent = w.recent[1:]
	}
}

func (w *Watch) count(work float64, informed bool) {
	w.sent += work
	if informed {
		w.informed += work
	}
}

// Sum adds up the outcomes of many starts.
type Sum struct {
	Starts int     // that were sent anything
	Fell   int     // that overloaded the server
	Broke  int     // of these, by fault of the nodes
	Excess float64 // the highest
	Ratio  float64 // the highest
	Least  float64 // the least budget of a window of the highest excess
}

// Merge adds another sum.
func (s *Sum) Merge(o Sum) {
	if o.Starts == 0 {
		return
	}
	if s.Starts == 0 {
		*s = o
		return
	}
	s.Starts += o.Starts
	s.Fell += o.Fell
	s.Broke += o.Broke
	s.Excess = max(s.Excess, o.Excess)
	s.Ratio = max(s.Ratio, o.Ratio)
	s.Least = min(s.Least, o.Least)
}

// Add adds a start that is over. One that was sent nothing does not count.
func (s *Sum) Add(w *Watch) {
	if w.Worst.Budget == 0 {
		return
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
