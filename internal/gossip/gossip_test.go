package gossip

import (
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"
	"time"

	"jasperpin/internal/emulator/check"
	"jasperpin/internal/membership"
	"jasperpin/internal/nodestate"
)

// TestLives has processes of one member begin and end in its folder: one knows that another has
// ended when that is so, however it ended, and not before; another folder knows nothing of it.
func TestLives(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "lives")
	begin := func() *Incarnations { return check.Must[*Incarnations](t)(BeginIncarnation(dir)) }
	first := begin()
	if first.Again || first.Before() >= first.Own {
		t.Errorf("the first: %+v, %d before", first, first.Before())
	}
	second, third := begin(), begin()
	if !second.Again || !(first.Own < second.Own && second.Own < third.Own) || second.Place != first.Place {
		t.Errorf("%+v, %+v, %+v", first, second, third)
	}
	for _, l := range []*Incarnations{second, third} {
		if got := l.Before(); got >= first.Own {
			t.Errorf("%d says that lives up to %d have ended, as %d runs", l.Own, got, first.Own)
		}
	}
	second.End()
	if got := third.Before(); got >= first.Own {
		t.Errorf("lives up to %d are said to have ended, as %d runs", got, first.Own)
	}
	first.End()
	if got := third.Before(); got < second.Own || got >= third.Own {
		t.Errorf("both have ended, and %d is told", got)
	}
	third.End()
	if fourth := begin(); fourth.Own <= third.Own || fourth.Before() < third.Own {
		t.Errorf("%+v after %+v", fourth, third)
	}
	if other := check.Must[*Incarnations](t)(BeginIncarnation(t.TempDir())); other.Place == first.Place || other.Again {
		t.Errorf("another folder: %+v", other)
	}
	if err := os.WriteFile(filepath.Join(dir, placeName), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := BeginIncarnation(dir); err == nil {
		t.Error("a damaged folder was taken")
	}
}

// FuzzDecode reads whatever may come: what is taken for a record or a note comes back the same.
func FuzzDecode(f *testing.F) {
	of := membership.ID{Identity: membership.Identity{Name: "n1", Place: 7}, Incarnation: 3}
	f.Add(encode(membership.Record{ID: of, Seq: 2, Weight: 1, State: membership.Serving, Ended: 2, Digest: 1 << 63}, true))
	f.Add(encodeNote(nodestate.Note{Of: of, Kind: "load", Seq: 9, Age: time.Second, Body: []byte("1.5")}))
	f.Add([]byte(`{"n":"x","l":-1}`))
	f.Add([]byte(`{"n":"x","k":"load","g":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, err := decode(b)
		if err != nil {
			return
		}
		text := encode(w.record(), w.Ask)
		if w.Kind != "" {
			text = encodeNote(w.note())
		}
		again, err := decode(text)
		switch {
		case err != nil: // longer than it came, as letters are written out
		case w.Kind != "" && !reflect.DeepEqual(again.note(), w.note()):
			t.Errorf("%+v came back as %+v", w.note(), again.note())
		case w.Kind == "" && again.record() != w.record():
			t.Errorf("%+v came back as %+v", w.record(), again.record())
		}
	})
}

// TestClosesUnderWords has a member close while words come as fast as they can: it ends all the same.
func TestClosesUnderWords(t *testing.T) {
	for range 5 {
		g, err := Join(Options{
			Self:   membership.Record{ID: membership.ID{Identity: membership.Identity{Name: "n"}, Incarnation: 1}, Weight: 1},
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), Bytes: 1 << 20, Alone: true, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		c := check.Must[net.Conn](t)(net.Dial("udp", g.Addr()))
		stop := make(chan struct{})
		var flood sync.WaitGroup
		flood.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = c.Write([]byte("\x08{}"))
				}
			}
		})
		check.Eventually(t, "words come", func() bool { return g.Counts().Got > 1000 })
		closed := make(chan struct{})
		go func() {
			g.Leave(time.Millisecond)
			g.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(check.Soon):
			t.Fatal("it does not close")
		}
		close(stop)
		flood.Wait()
		c.Close()
	}
}
