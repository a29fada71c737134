package httpserver

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangUpEvents say that the peer has ended its sending, or that the connection is broken.
const hangUpEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// pollEvents asks the kernel which of the events a descriptor has, and does not wait. Where poll(2)
// fails it returns 0, as for a descriptor without events.
func pollEvents(fd uintptr, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(p, 0); err != nil || n == 0 {
		return 0
	}
	return p[0].Revents
}

// hasHungUp reports whether the peer has ended its sending, whatever is still to be read ahead of that.
func hasHungUp(fd uintptr) bool { return pollEvents(fd, unix.POLLRDHUP)&hangUpEvents != 0 }

// unreadBytes is how many bytes wait in a socket to be read, 0 where the kernel does not say.
func unreadBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// sinceLastReceived is for how long a TCP socket has received no bytes, read or not, or since it was
// connected. It is 0 where the kernel does not say, as for a Unix socket.
func sinceLastReceived(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// readIgnoringSignals is read(2), repeated where a signal interrupts it.
func readIgnoringSignals(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), p)
		if err != syscall.EINTR { //nolint:errorlint // a bare errno of a system call
			return n, err
		}
	}
}
