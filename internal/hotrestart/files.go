package hotrestart

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
)

// maxFiles bounds the listeners that go from one process to the next.
const maxFiles = 64

// lend gives copies of listeners' descriptors, which the caller closes, and their
// addresses in the same order. One that has none is left out.
func lend(listeners map[string]net.Listener, log *slog.Logger) (addrs []string, files []int) {
	for addr, ln := range listeners {
		fd, err := copied(ln)
		if err != nil || len(files) == maxFiles {
			log.Warn("a listener stays with this process alone", "listen", addr, "err", err)
			continue
		}
		addrs, files = append(addrs, addr), append(files, fd)
	}
	return addrs, files
}

// copied gives a copy of a listener's descriptor. net's own File would set the listener to
// block, for both processes.
func copied(ln net.Listener) (int, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("%T has no descriptor", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	fd := -1
	if e := raw.Control(func(is uintptr) {
		if fd, err = syscall.Dup(int(is)); err == nil {
			syscall.CloseOnExec(fd)
		}
	}); e != nil {
		err = e
	}
	return fd, err
}

// receive reads what comes first on a connection, and the files that come along.
func receive(conn *net.UnixConn) (first []byte, files []*os.File, err error) {
	first, rights := make([]byte, 4<<10), make([]byte, syscall.CmsgSpace(4*maxFiles))
	n, rn, _, _, err := conn.ReadMsgUnix(first, rights)
	if err != nil {
		return nil, nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:rn])
	if err != nil {
		return nil, nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue // some other kind of message
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	return first[:n], files, nil
}

// adopt makes listeners of the files that came, by their addresses. What is no listener is
// closed.
func adopt(addrs []string, files []*os.File, log *slog.Logger) map[string]net.Listener {
	got := make(map[string]net.Listener)
	for i, f := range files {
		if i < len(addrs) && got[addrs[i]] == nil {
			if ln, err := net.FileListener(f); err != nil { // which has a copy of its own
				log.Warn("a descriptor that came is no listener", "listen", addrs[i], "err", err)
			} else {
				got[addrs[i]] = ln
			}
		}
		f.Close()
	}
	return got
}
