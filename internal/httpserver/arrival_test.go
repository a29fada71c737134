package httpserver

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
)

// TestRequestTimeIncludesAcceptQueue: a client sends its request while its connection is still in the kernel's
// accept queue, as when the process has no free descriptor. The timeout runs from the time at which the request
// was sent, not from the accept.
func TestRequestTimeIncludesAcceptQueue(t *testing.T) {
	const queueTime = 300 * time.Millisecond
	ln := newTestListener(t, 2)
	client := check.Must[net.Conn](t)(net.Dial("tcp", ln.Addr().String()))
	defer client.Close()
	write(t, client, completeRequest)
	written := time.Now()
	queued := time.NewTimer(queueTime) // the time in the accept queue
	<-queued.C
	conn := check.Must[net.Conn](t)(ln.Accept()).(*clientConn)
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	receivedAt, _ := conn.beginRequest()
	if late := receivedAt.Sub(written); late > queueTime/3 {
		t.Errorf("the request is recorded as complete %v after it was written, want no later than the write", late)
	}
	if err := conn.SetReadDeadline(time.Now().Add(readHeaderTimeout)); err != nil {
		t.Fatal(err)
	}
}

// TestRequestTimeIncludesStoppedProcess: bytes arrive during a read while the process is stopped (SIGSTOP, a
// suspended machine). The read seems to have blocked until now, but the kernel reports that the bytes arrived
// earlier, and the kernel's time counts.
func TestRequestTimeIncludesStoppedProcess(t *testing.T) {
	const stoppedFor = 300 * time.Millisecond
	ln := newTestListener(t, 2)
	client, conn := ln.connect()
	written := time.Now()
	write(t, client, completeRequest)
	stopped := time.NewTimer(stoppedFor) // simulates the stop: no goroutine reads meanwhile
	<-stopped.C
	readBegan := written.Add(-time.Second)
	conn.mu.Lock()
	conn.recordRead([]byte(completeRequest), readBegan)
	conn.mu.Unlock()
	receivedAt, _ := conn.beginRequest()
	if late := receivedAt.Sub(written); late > stoppedFor/3 {
		t.Errorf("the request is recorded as complete %v after it was written, want no later than the write", late)
	}
}

// TestNewConnectionsHaveDescriptors: disconnects of a connection without a descriptor could not be detected, so
// newClientConn fails with errNoDescriptor.
func TestNewConnectionsHaveDescriptors(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	if _, err := newClientConn(near, newConnTracker(1)); !errors.Is(err, errNoDescriptor) {
		t.Errorf("newClientConn of a pipe failed with %v, want %v", err, errNoDescriptor)
	}
	ln := newTestListener(t, 1)
	_, conn := ln.connect()
	if _, ok := conn.Conn.(syscall.Conn); !ok || conn.raw == nil {
		t.Errorf("a TCP connection of type %T has no descriptor, want one", conn.Conn)
	}
}
