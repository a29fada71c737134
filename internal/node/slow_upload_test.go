package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
)

// TestUploadToSlowServerIsAnsweredInTime guards against a final answer that comes seconds after its time: a client has
// sent all of a long body, and the server reads it slowly. The client's time counts from its last byte, not from when
// the server has the last byte.
func TestUploadToSlowServerIsAnsweredInTime(t *testing.T) {
	const deadline, slack = time.Second, 500 * time.Millisecond
	const size, serverBytesPerSecond, pieceBytes = 6 << 20, 1 << 20, 64 << 10
	listener := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetReadBuffer(pieceBytes)
				for piece := make([]byte, pieceBytes); err == nil; <-time.After(pieceBytes * time.Second / serverBytesPerSecond) {
					_, err = io.ReadFull(c, piece)
				}
			}()
		}
	}()
	n := startNode(t, withDeadline(deadline), listener.Addr().String())
	client := n.dial()
	written := make(chan time.Time, 1)
	go func() {
		_, _ = io.WriteString(client, postRequest("credit", "long", "", strings.Repeat("x", size)))
		written <- time.Now()
	}()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	answered := time.Now()
	client.Close()
	if late := answered.Sub((<-written).Add(deadline)); late > slack {
		t.Errorf("the answer %d came %v after the client's time, want at most %v", resp.StatusCode, late, slack)
	}
}
