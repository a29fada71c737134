package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/limit"
)

// TestServerAcceptsAfterAcceptErrors: accept(2) fails twice with each of the temporary errors. The server
// accepts the next connection, and still shuts down promptly.
func TestServerAcceptsAfterAcceptErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range check.AcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			server := New(nil, limit.Machine{Descriptors: 256, Memory: 64 << 20, Cores: 1}, slog.New(slog.DiscardHandler))
			ln := check.Must[net.Listener](t)(net.Listen("tcp", "127.0.0.1:0"))
			served := make(chan error, 1)
			go func() { served <- server.Serve(check.NewFailingListener(ln, []syscall.Errno{errno, errno}...)) }()
			client := &http.Client{Timeout: check.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + ln.Addr().String() + "/up")
			if err != nil {
				select {
				case err = <-served:
				default:
				}
				t.Fatalf("no response after accept(2) failed with %v: %v", errno, err)
			}
			resp.Body.Close()
			began := time.Now()
			if err := server.Shutdown(context.Background(), time.Now().Add(check.Timeout)); err != nil {
				t.Error(err)
			}
			if took := time.Since(began); took > check.Timeout/2 {
				t.Errorf("the shutdown took %v, want at most %v", took, check.Timeout/2)
			}
		})
	}
}
