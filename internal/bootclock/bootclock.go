// Package bootclock measures durations of real time that outlast a process. Meanwhile the wall clock may be
// stepped, and the monotonic clocks of two processes are not comparable. The clock since the machine's boot is
// common to all processes of one boot.
package bootclock

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile contains a random ID that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Reading is the state of the machine's clocks at one time.
type Reading struct {
	BootID    string        // "" if not known
	SinceBoot time.Duration // includes the time for which the machine was suspended
	Wall      time.Time
}

// readBootID returns the ID of the boot, or "" if the kernel does not provide one.
var readBootID = sync.OnceValue(func() string {
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "" // Reading.Remaining also handles an unknown ID
	}
	return strings.TrimSpace(string(text))
})

// Now returns the current state of the clocks.
func Now() Reading {
	r := Reading{BootID: readBootID(), Wall: time.Now()}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err == nil { // available since Linux 2.6.39
		r.SinceBoot = time.Duration(now.Nano())
	}
	return r
}

// Deadline is the end of a time span, in a form that can be stored on disk.
type Deadline struct {
	WallNanos int64         `json:"Until"`               // Unix time in nanoseconds, by the wall clock at the start of the span
	BootID    string        `json:"Boot,omitempty"`      // of the boot in which the span began
	SinceBoot time.Duration `json:"BootUntil,omitempty"` // the end, as time since that boot
	Span      time.Duration `json:"Span,omitempty"`      // length of the span; 0 in records that have only a wall-clock time
}

// After returns the deadline of a span that begins at r.
func (r Reading) After(span time.Duration) Deadline {
	return Deadline{WallNanos: r.Wall.Add(span).UnixNano(), BootID: r.BootID, SinceBoot: r.SinceBoot + span, Span: span}
}

// Remaining returns the time from r until the deadline; it is negative if the deadline has passed. Within one
// boot, a step of the wall clock has no effect. After another boot, it is the longer of the remaining time by
// the wall clock and the remaining time if the span had begun at this boot, but never more than the whole span.
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
