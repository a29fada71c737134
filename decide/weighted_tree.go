package decide

import "math/bits"

// weightedTree stores weights by position and finds positions in proportion to their weights. Appending,
// setting, removing the last and finding cost the logarithm of the number of weights; rebuilding is
// linear. The zero value is an empty tree.
//
// It is a Fenwick tree (binary indexed tree): sums[i] is the sum of the weights from i-lowbit(i) to i-1.
type weightedTree struct {
	weights []float64
	sums    []float64 // one element longer than weights; sums[0] is unused
}

func lowbit(i int) int { return i & -i }

// push appends a weight.
func (t *weightedTree) push(weight float64) {
	if len(t.sums) == 0 {
		t.sums = append(t.sums, 0)
	}
	t.weights = append(t.weights, weight)
	i := len(t.weights)
	sum := weight
	for part := i - 1; part > i-lowbit(i); part -= lowbit(part) {
		sum += t.sums[part]
	}
	t.sums = append(t.sums, sum)
}

// pop removes the last weight.
func (t *weightedTree) pop() {
	last := len(t.weights) - 1
	t.weights, t.sums = t.weights[:last], t.sums[:last+1]
}

// set sets the weight at a position.
func (t *weightedTree) set(position int, weight float64) {
	change := weight - t.weights[position]
	t.weights[position] = weight
	for i := position + 1; i < len(t.sums); i += lowbit(i) {
		t.sums[i] += change
	}
}

// rebuild recomputes the sums from the weights, which removes accumulated rounding errors.
func (t *weightedTree) rebuild() {
	for i, weight := range t.weights {
		t.sums[i+1] = weight
	}
	for i := 1; i < len(t.sums); i++ {
		if parent := i + lowbit(i); parent < len(t.sums) {
			t.sums[parent] += t.sums[i]
		}
	}
}

// total returns the sum of all weights.
func (t *weightedTree) total() (sum float64) {
	for i := len(t.weights); i > 0; i -= lowbit(i) {
		sum += t.sums[i]
	}
	return sum
}

// locate returns the first position at which the cumulative weight reaches x, or the last position.
func (t *weightedTree) locate(x float64) int {
	position := 0
	for step := 1 << bits.Len(uint(len(t.weights))) >> 1; step > 0; step >>= 1 {
		if next := position + step; next <= len(t.weights) && t.sums[next] < x {
			position = next
			x -= t.sums[next]
		}
	}
	return min(position, len(t.weights)-1)
}
