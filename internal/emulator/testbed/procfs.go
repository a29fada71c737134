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

// Positions in /proc/PID/stat, counted from the field behind the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

var errProcFormat = errors.New("unexpected format in /proc")

// Pid is the process id.
func (s *Process) Pid() int { return s.command.Process.Pid }

// CPU is the processor time that the process has used so far, to 10 ms.
func (s *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.Pid()))
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

// AnonymousMemory is how much anonymous memory of the process is resident, in bytes: without what is of files.
func (s *Process) AnonymousMemory() (int, error) { return s.statusBytes("RssAnon") }

// PeakMemory is the most that the process ever had resident, in bytes.
func (s *Process) PeakMemory() (int, error) { return s.statusBytes("VmHWM") }

// statusBytes reads a size from /proc/PID/status.
func (s *Process) statusBytes(name string) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.Pid()))
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

// Descriptors is how many descriptors the process has open.
func (s *Process) Descriptors() (int, error) {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.Pid()))
	if err != nil {
		return 0, fmt.Errorf("counting a process's descriptors: %w", err)
	}
	return len(all), nil
}
