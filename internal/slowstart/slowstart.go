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

// ChanceAllowance is how far beyond its budget a server may be sent by chance, in requests of mean work: nodes that
// do not coordinate send like a Poisson process.
func ChanceAllowance(budget float64) float64 { return 2*math.Sqrt(budget) + 2 }

// WindowLoad is the load of one window, in requests of mean work.
type WindowLoad struct {
	Sent         float64
	SentInformed float64       // of Sent, by nodes that had been informed of the start
	Budget       float64       // at the window's end
	EndsAt       time.Duration // the window's end
}

// Excess is what was sent beyond the budget, in units of what may come by chance: over 1 the server is
// overloaded.
func (p WindowLoad) Excess() float64 { return (p.Sent - p.Budget) / ChanceAllowance(p.Budget) }

// Ratio is what was sent, in budgets.
func (p WindowLoad) Ratio() float64 { return p.Sent / p.Budget }

// NodesAtFault reports whether the window overloaded its server and the nodes are at fault: over two thirds of it
// came from those that had been informed of the start.
func (p WindowLoad) NodesAtFault() bool { return p.Excess() > 1 && p.SentInformed > p.Sent*2/3 }

// arrival is one request.
type arrival struct {
	at       time.Duration
	work     float64 // in requests of mean work
	informed bool    // its node had been informed of the start
}

// Monitor follows one start of one server. The zero value with a Rule is ready for use.
type Monitor struct {
	Rule
	recent         []arrival   // within the window
	sent, informed float64     // the sums over recent
	WorstExcess    WindowLoad  // the window with the highest Excess
	WorstRatio     WindowLoad  // the window with the highest Ratio
	Overload       *WindowLoad // the first window that overloaded the server, nil for none
}

// Arrive takes a request that reached the server, and returns the window that ends with it. Requests must
// come in order of time. Rate is how many requests of mean work the server answers a second now, work the
// request's work against the mean, and informed says that its node had been informed of the start.
func (w *Monitor) Arrive(at time.Duration, rate, work float64, informed bool) WindowLoad {
	w.recent = append(w.recent, arrival{at, work, informed})
	w.count(work, informed)
	w.dropBefore(at - w.Window)
	p := WindowLoad{Sent: w.sent, SentInformed: w.informed, Budget: w.Budget(rate), EndsAt: at}
	if w.WorstExcess.Budget == 0 || p.Excess() > w.WorstExcess.Excess() {
		w.WorstExcess = p
	}
	if w.WorstRatio.Budget == 0 || p.Ratio() > w.WorstRatio.Ratio() {
		w.WorstRatio = p
	}
	if w.Overload == nil && p.Excess() > 1 {
		w.Overload = &p
	}
	return p
}

// dropBefore removes the arrivals up to a time from the window.
func (w *Monitor) dropBefore(start time.Duration) {
	for w.recent[0].at <= start {
		w.count(-w.recent[0].work, w.recent[0].informed)
		w.recent = w.recent[1:]
	}
}

func (w *Monitor) count(work float64, informed bool) {
	w.sent += work
	if informed {
		w.informed += work
	}
}

// Totals adds up the outcomes of many starts.
type Totals struct {
	Starts       int     // that were sent anything
	Overloaded   int     // that overloaded the server
	NodesAtFault int     // of these, by fault of the nodes
	WorstExcess  float64 // the highest
	WorstRatio   float64 // the highest
	MinBudget    float64 // the least budget of a window of the highest excess
}

// Merge adds another sum.
func (s *Totals) Merge(o Totals) {
	if o.Starts == 0 {
		return
	}
	if s.Starts == 0 {
		*s = o
		return
	}
	s.Starts += o.Starts
	s.Overloaded += o.Overloaded
	s.NodesAtFault += o.NodesAtFault
	s.WorstExcess = max(s.WorstExcess, o.WorstExcess)
	s.WorstRatio = max(s.WorstRatio, o.WorstRatio)
	s.MinBudget = min(s.MinBudget, o.MinBudget)
}

// Add adds a start that is over. One that was sent nothing does not count.
func (s *Totals) Add(w *Monitor) {
	if w.WorstExcess.Budget == 0 {
		return
	}
	o := Totals{Starts: 1, WorstExcess: w.WorstExcess.Excess(), WorstRatio: w.WorstRatio.Ratio(), MinBudget: w.WorstExcess.Budget}
	if w.Overload != nil {
		o.Overloaded = 1
		if w.Overload.NodesAtFault() {
			o.NodesAtFault = 1
		}
	}
	s.Merge(o)
}
