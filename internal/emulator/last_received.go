package emulator

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// kernelTick is the coarsest resolution of the kernel's figure.
	kernelTick = 10 * time.Millisecond
	// maxQueryTime is the longest time of a query whose result is used, and queryTries how often it is tried.
	maxQueryTime = time.Millisecond
	queryTries   = 3
)

// LastReceived returns when the last bytes arrived on a TCP connection, read or not, as the kernel counts it: on a busy
// machine a process reads them later. It returns the current time if the kernel does not report it.
func LastReceived(conn net.Conn) time.Time {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return time.Now()
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return time.Now()
	}
	for range queryTries {
		var info *unix.TCPInfo
		before := time.Now()
		// Control fails only on a closed connection, on which nothing arrives any more.
		_ = raw.Control(func(fd uintptr) { info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		if info == nil {
			break
		}
		if time.Since(before) <= maxQueryTime {
			return before.Add(-max(0, time.Duration(info.Last_data_recv)*time.Millisecond-kernelTick))
		}
	}
	return time.Now()
}
