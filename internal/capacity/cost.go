package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	// costRuns is the number of measurements of a short cost. Their median is used.
	costRuns = 3
	// measurableTime is the least processor time of a run: the system's clock is coarse.
	measurableTime      = 20 * time.Millisecond
	smallMeasurableTime = time.Millisecond
)

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the system call fails for invalid arguments only
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost returns the processor time of one call of do: the median of some runs, each with enough calls to take a
// measurable time.
func (o Options) cost(do func()) time.Duration {
	do() // allocates what later calls reuse
	minTime, runs := measurableTime, costRuns
	if o.Small {
		minTime, runs = smallMeasurableTime, 1
	}
	var all []time.Duration
	for range runs {
		for calls := 1; ; calls *= 4 {
			began := processorTime()
			for range calls {
				do()
			}
			if took := processorTime() - began; took >= minTime {
				all = append(all, took/time.Duration(calls))
				break
			}
		}
	}
	return median(all)
}

func median[T interface{ ~int64 | ~float64 }](all []T) T {
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2]
}

// heapGrowth returns by how many bytes the heap in use grows while the value that build returns is alive. It
// collects garbage twice, because objects with a finalizer need two collections.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// clockTick is the resolution of a process's processor time.
const clockTick = 10 * time.Millisecond

// atLeastOneTick returns a processor time, or one tick if it is shorter than the resolution of the system's clock.
func atLeastOneTick(d time.Duration) time.Duration { return max(d, clockTick) }
