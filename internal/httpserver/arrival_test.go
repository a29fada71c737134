package httpserver

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
)

// TestRequestTimeIncludesAcceptQueue: a client writes its request while its connection still waits in the
// kernel's accept queue, as when descriptors have run out. Its time-out runs from when it wrote, not from
// when the connection was accepted.
func TestRequestTimeIncludesAcceptQueue(t *testing.T) {
	const queueTime = 300 * time.Millisecond
	l := newTestListener(t, 2)
	client := check.Must[net.Conn](t)(net.Dial("tcp", l.Addr().String()))
	defer client.Close()
	write(t, client, completeRequest)
	written := time.Now()
	queued := time.NewTimer(queueTime) // the time in the queue is what is tested
	<-queued.C
	cc := check.Must[net.Conn](t)(l.Accept()).(*clientConn)
	defer cc.Close()
	if _, err := cc.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	if late := cc.beginRequest().Sub(written); late > queueTime/3 {
		t.Errorf("the request counts as complete %v after it was written", late)
	}
	if err := cc.SetReadDeadline(time.Now().Add(readHeaderTimeout)); err != nil {
		t.Fatal(err)
	}
}

// TestRequestTimeIncludesStoppedProcess: bytes arrive during a read while the process does not run
// (SIGSTOP, a suspended machine). To the process the read seems to have waited for them until now; the
// kernel knows that they arrived earlier, and its time counts.
func TestRequestTimeIncludesStoppedProcess(t *testing.T) {
	const stoppedFor = 300 * time.Millisecond
	l := newTestListener(t, 2)
	client, cc := l.connect()
	written := time.Now()
	write(t, client, completeRequest)
	stopped := time.NewTimer(stoppedFor) // stands for the stop: nothing reads meanwhile
	<-stopped.C
	readBegan := written.Add(-time.Second)
	cc.mu.Lock()
	cc.noteRead([]byte(completeRequest), readBegan)
	cc.mu.Unlock()
	if late := cc.beginRequest().Sub(written); late > stoppedFor/3 {
		t.Errorf("the request counts as complete %v after it was written", late)
	}
}

// TestNewConnectionsHaveDescriptors: a connection without a descriptor could not be watched, so Accept
// fails with errNoDescriptor.
func TestNewConnectionsHaveDescriptors(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	if _, err := newClientConn(near, newConnTracker(1)); !errors.Is(err, errNoDescriptor) {
		t.Errorf("a pipe was accepted with %v, want %v", err, errNoDescriptor)
	}
	l := newTestListener(t, 1)
	_, cc := l.connect()
	if _, ok := cc.Conn.(syscall.Conn); !ok || cc.raw == nil {
		t.Errorf("a TCP connection of type %T has no descriptor", cc.Conn)
	}
}
