package hotrestart

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
)

// maxDescriptors is the maximum number of listening sockets passed from one process to the next, as
// the receiver must allocate the buffer for their control message before it reads.
const maxDescriptors = 64

// firstReadBytes is the size of the first read of an answer, which must receive the descriptors.
const firstReadBytes = 4 << 10

// descriptorBytes is the size of a descriptor in a control message.
const descriptorBytes = 4

// duplicateListeners returns duplicates of the listeners' descriptors, which the caller must close,
// and their addresses in the same order. It omits listeners without a descriptor.
func duplicateListeners(listeners map[string]net.Listener, log *slog.Logger) (addresses []string, descriptors []int) {
	for address, ln := range listeners {
		descriptor, err := duplicate(ln)
		if err != nil || len(descriptors) == maxDescriptors {
			log.Warn("hot restart: listener not passed to the successor", "listen", address, "err", err)
			continue
		}
		addresses, descriptors = append(addresses, address), append(descriptors, descriptor)
	}
	return addresses, descriptors
}

// duplicate returns a duplicate of a listener's descriptor. It does not use the File method of
// package net, which would set the socket to blocking mode for both processes.
func duplicate(ln net.Listener) (int, error) {
	conn, ok := ln.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("%T has no descriptor", ln)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("accessing a listener's descriptor: %w", err)
	}
	descriptor := -1
	var dupErr error
	err = raw.Control(func(original uintptr) {
		if descriptor, dupErr = syscall.Dup(int(original)); dupErr == nil {
			syscall.CloseOnExec(descriptor)
		}
	})
	if err != nil {
		return descriptor, fmt.Errorf("accessing a listener's descriptor: %w", err)
	}
	if dupErr != nil {
		return descriptor, fmt.Errorf("duplicating a listener's descriptor: %w", dupErr)
	}
	return descriptor, nil
}

// receiveDescriptors reads the first bytes of a connection and the descriptors sent with them.
func receiveDescriptors(conn *net.UnixConn) (first []byte, files []*os.File, err error) {
	first = make([]byte, firstReadBytes)
	control := make([]byte, syscall.CmsgSpace(descriptorBytes*maxDescriptors))
	n, controlLength, _, _, err := conn.ReadMsgUnix(first, control)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the predecessor's answer: %w", err)
	}
	messages, err := syscall.ParseSocketControlMessage(control[:controlLength])
	if err != nil {
		return nil, nil, fmt.Errorf("reading the predecessor's descriptors: %w", err)
	}
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue // a control message of another kind
		}
		for _, descriptor := range descriptors {
			syscall.CloseOnExec(descriptor)
			files = append(files, os.NewFile(uintptr(descriptor), "listener"))
		}
	}
	return first[:n], files, nil
}

// openListeners returns the listeners of received files, by their addresses, and closes the files:
// the listeners have their own duplicates. It omits files that are not listening sockets.
func openListeners(addresses []string, files []*os.File, log *slog.Logger) map[string]net.Listener {
	listeners := make(map[string]net.Listener)
	for i, file := range files {
		if i < len(addresses) && listeners[addresses[i]] == nil {
			if ln, err := net.FileListener(file); err != nil {
				log.Warn("hot restart: received descriptor is not a listener", "listen", addresses[i], "err", err)
			} else {
				listeners[addresses[i]] = ln
			}
		}
		file.Close()
	}
	return listeners
}

// closeDescriptors closes duplicates of the listeners' descriptors.
func closeDescriptors(descriptors []int) {
	for _, descriptor := range descriptors {
		_ = syscall.Close(descriptor) // the duplicate is no longer used, so a failure needs no handling
	}
}
