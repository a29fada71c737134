package decide

import "math/bits"

// weights are numbers by position, of which one is drawn as often as it is large. Setting, adding,
// removing the last and drawing cost the logarithm of how many there are; setting all is linear.
//
// It is a binary indexed tree: sums[i] is the sum of the values from i-lowbit(i) on, up to i-1.
type weights struct {
	values []float64
	sums   []float64 // one more than values, the first is not used
}

func lowbit(i int) int { return i & -i }

// add puts a value behind all others.
func (w *weights) add(value float64) {
	if len(w.sums) == 0 {
		w.sums = append(w.sums, 0)
	}
	w.values = append(w.values, value)
	i := len(w.values)
	sum := value
	for part := i - 1; part > i-lowbit(i); part -= lowbit(part) {
		sum += w.sums[part]
	}
	w.sums = append(w.sums, sum)
}

// removeLast takes the last value away.
func (w *weights) removeLast() {
	n := len(w.values) - 1
	w.values, w.sums = w.values[:n], w.sums[:n+1]
}

// set changes the value at a position.
func (w *weights) set(at int, value float64) {
	change := value - w.values[at]
	w.values[at] = value
	for i := at + 1; i < len(w.sums); i += lowbit(i) {
		w.sums[i] += change
	}
}

// refresh sums the values up anew, so that what small changes have left of rounding is gone.
func (w *weights) refresh() {
	for i, value := range w.values {
		w.sums[i+1] = value
	}
	for i := 1; i < len(w.sums); i++ {
		if up := i + lowbit(i); up < len(w.sums) {
			w.sums[up] += w.sums[i]
		}
	}
}

// total is the sum of all values.
func (w *weights) total() (sum float64) {
	for i := len(w.values); i > 0; i -= lowbit(i) {
		sum += w.sums[i]
	}
	return sum
}

// find gives the first position up to which the values sum up to x, or the last.
func (w *weights) find(x float64) int {
	at := 0
	for step := 1 << bits.Len(uint(len(w.values))) >> 1; step > 0; step >>= 1 {
		if next := at + step; next <= len(w.values) && w.sums[next] < x {
			at = next
			x -= w.sums[next]
		}
	}
	return min(at, len(w.values)-1)
}
