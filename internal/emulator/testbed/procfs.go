package testbed

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Positions in /proc/PID/stat, counted from the field after the command name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

var errProcFormat = errors.New("unexpected format in /proc")

// Pid returns the process id.
func (p *Process) Pid() int { return p.command.Process.Pid }

// CPU returns the processor time that the process has used so far, with a resolution of 10 ms.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, fmt.Errorf("reading a process's processor time: %w", err)
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statSystemTime {
		return 0, fmt.Errorf("reading a process's processor time: %w", errProcFormat)
	}
	user, userErr := strconv.Atoi(fields[statUserTime])
	system, systemErr := strconv.Atoi(fields[statSystemTime])
	return time.Duration(user+system) * clockTick, errors.Join(userErr, systemErr)
}

// AnonymousMemory returns the resident anonymous memory of the process in bytes, without file-backed memory.
func (p *Process) AnonymousMemory() (int, error) { return p.statusBytes("RssAnon") }

// PeakMemory returns the peak resident memory of the process in bytes.
func (p *Process) PeakMemory() (int, error) { return p.statusBytes("VmHWM") }

// statusBytes reads a size from /proc/PID/status.
func (p *Process) statusBytes(name string) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, fmt.Errorf("reading a process's memory: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, name+": %d kB", &kb); err == nil {
			return kb << 10, nil
		}
	}
	return 0, fmt.Errorf("reading a process's memory: %w", errProcFormat)
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil {
		return 0, fmt.Errorf("counting a process's descriptors: %w", err)
	}
	return len(all), nil
}
