package httpserver

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectEvents are the poll events after the peer has shut down its write side, or after the connection is
// lost.
const disconnectEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// pollEvents returns which of the events a descriptor has, without waiting. It returns 0 if poll(2) fails, as
// for a descriptor without events.
func pollEvents(fd uintptr, events int16) int16 {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	if n, err := unix.Poll(p, 0); err != nil || n == 0 {
		return 0
	}
	return p[0].Revents
}

// isDisconnected reports whether the peer has shut down its write side or the connection is lost, regardless of
// unread bytes.
func isDisconnected(fd uintptr) bool { return pollEvents(fd, unix.POLLRDHUP)&disconnectEvents != 0 }

// unreadBytes returns the number of unread bytes in a socket, or 0 if the kernel does not report it.
func unreadBytes(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// sinceLastReceived returns the time since a TCP socket last received bytes, read or unread, or since it was
// connected. It returns false if the kernel does not report it, as for a Unix socket.
func sinceLastReceived(fd uintptr) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// readRetryingEINTR is read(2), retried if a signal interrupts it.
func readRetryingEINTR(fd uintptr, p []byte) (int, error) {
	for {
		n, err := syscall.Read(int(fd), p)
		if err != syscall.EINTR { //nolint:errorlint // a bare errno of a system call
			return n, err
		}
	}
}
