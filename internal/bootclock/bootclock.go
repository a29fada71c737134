// Package bootclock measures spans of real time that outlive a process. The wall clock may be
// stepped while they last, and a process that starts has no monotonic clock in common with the
// one before: what they share is the clock of the machine's boot.
package bootclock

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds a number that the kernel draws at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Reading is one look at the machine's clocks.
type Reading struct {
	Boot  string        // the id of the boot; "" where it is not known
	Since time.Duration // since the boot, suspended times included
	Wall  time.Time
}

var bootID = sync.OnceValue(func() string {
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
})

// Now reads the clocks.
func Now() Reading {
	r := Reading{Boot: bootID(), Wall: time.Now()}
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err == nil {
		r.Since = time.Duration(now.Nano())
	}
	return r
}

// Deadline is the end of a span in a form that can be kept on a disk.
type Deadline struct {
	Until     int64         `json:"Until"`               // Unix time in nanoseconds, as the wall clock stood
	Boot      string        `json:"Boot,omitempty"`      // the boot at which it was set
	BootUntil time.Duration `json:"BootUntil,omitempty"` // on the clock of that boot
	Span      time.Duration `json:"Span,omitempty"`      // 0 in records that know the wall clock alone
}

// In is the deadline at the end of a span that begins at a reading.
func (r Reading) In(span time.Duration) Deadline {
	return Deadline{Until: r.Wall.Add(span).UnixNano(), Boot: r.Boot, BootUntil: r.Since + span, Span: span}
}

// Left is what remains of a span. Within one boot a step of the wall clock does not move it. After
// another boot it is the longer of what the wall clock says and what is left if the span began no
// earlier than the boot, and never more than the whole.
func (r Reading) Left(d Deadline) time.Duration {
	wall := time.Duration(d.Until - r.Wall.UnixNano())
	if d.Span == 0 {
		return wall
	}
	left := d.BootUntil - r.Since
	if d.Boot != "" && d.Boot == r.Boot {
		return left
	}
	begun := d.BootUntil - d.Span
	if sameBootMaybe := (d.Boot == "" || r.Boot == "") && begun <= r.Since; !sameBootMaybe {
		left = d.Span - r.Since
	}
	return min(d.Span, max(left, wall))
}
