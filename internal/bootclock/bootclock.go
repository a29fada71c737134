// Package bootclock measures spans of real time that outlive a process. The wall clock may be stepped while
// they last, and a new process has no monotonic clock in common with the one before. What both share is the
// clock of the machine's boot.
package bootclock

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds a random ID that the kernel draws at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Reading is one reading of the machine's clocks.
type Reading struct {
	BootID    string        // "" where it is not known
	SinceBoot time.Duration // with the time for which the machine was suspended
	Wall      time.Time
}

// readBootID returns the ID of the boot; "" where the kernel does not give one.
var readBootID = sync.OnceValue(func() string {
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "" // spans are measured all the same, see Reading.Remaining
	}
	return strings.TrimSpace(string(text))
})

// Now reads the clocks.
func Now() Reading {
	r := Reading{BootID: readBootID(), Wall: time.Now()}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err == nil { // Linux has this clock since 2.6.39
		r.SinceBoot = time.Duration(now.Nano())
	}
	return r
}

// Deadline is the end of a span, in a form that can be kept on a disk.
type Deadline struct {
	WallNanos int64         `json:"Until"`               // Unix time in nanoseconds, by the wall clock at the start
	BootID    string        `json:"Boot,omitempty"`      // of the boot in which the span began
	SinceBoot time.Duration `json:"BootUntil,omitempty"` // the end, by the clock of that boot
	Span      time.Duration `json:"Span,omitempty"`      // the whole span; 0 in records that have a wall-clock time only
}

// After returns the deadline of a span that begins at the reading.
func (r Reading) After(span time.Duration) Deadline {
	return Deadline{WallNanos: r.Wall.Add(span).UnixNano(), BootID: r.BootID, SinceBoot: r.SinceBoot + span, Span: span}
}

// Remaining returns what is left of a span at the reading; below 0 where it is over. Within one boot a step of
// the wall clock does not change it. After another boot it is the longer of what the wall clock says and what
// would be left had the span begun with this boot, and never more than the whole span.
func (r Reading) Remaining(d Deadline) time.Duration {
	byWall := time.Duration(d.WallNanos - r.Wall.UnixNano())
	if d.Span == 0 {
		return byWall
	}
	byBoot := d.SinceBoot - r.SinceBoot
	if d.BootID != "" && d.BootID == r.BootID {
		return byBoot
	}
	began := d.SinceBoot - d.Span
	idUnknown := d.BootID == "" || r.BootID == ""
	if mayBeSameBoot := idUnknown && began <= r.SinceBoot; !mayBeSameBoot {
		byBoot = d.Span - r.SinceBoot
	}
	return min(d.Span, max(byBoot, byWall))
}
