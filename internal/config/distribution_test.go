package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"jasperpin/internal/configlog"
)

const distributionFile = `[node]
name = "m1"
[cluster]
voters = ["127.0.0.1:7800"]
certificate = "c.pem"
key = "c.key"
authorities = "/ca.pem"
[config]
certificate = "n.pem"
key = "n.key"
authorities = "/nodes-ca.pem"
listen = "127.0.0.1:7850"
status = "127.0.0.1:7851"
folder = "copy"
[[config.relay]]
name = "m1"
zone = "z1"
region = "r1"
address = "127.0.0.1:7850"
status = "127.0.0.1:7851"
[[pool]]
name = "read by others"
`

// TestDistribution reads a relay's file, which also has tables that relays ignore, and then invalid variants
// of it.
func TestDistribution(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "m1.toml")
	if err := os.WriteFile(path, []byte(distributionFile), 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := LoadDistribution(path)
	if err != nil {
		t.Fatal(err)
	}
	want := OwnRelay{Listen: "127.0.0.1:7850", Status: "127.0.0.1:7851", Directory: filepath.Join(filepath.Dir(path), "copy"), Streams: defaultStreams}
	if d.Name != "m1" || d.OwnRelay != want || d.Files.Certificate != filepath.Join(filepath.Dir(path), "n.pem") || d.Files.Authorities != "/nodes-ca.pem" || !d.Cluster.Enabled() {
		t.Errorf("the distribution file is parsed as %+v, want the values of the file", d)
	}
	if at := (StatusRelay{Relay{"m1", "127.0.0.1:7850", "z1", "r1"}, "127.0.0.1:7851"}); len(d.Relays) != 1 || d.Relays[0] != at {
		t.Errorf("the relays are %+v, want m1 only", d.Relays)
	}
	for _, c := range []struct{ old, replacement, want string }{
		{"[cluster]", "[others]", "m1.toml:0: cluster is missing"},
		{"listen = \"127.0.0.1:7850\"\n", "", "m1.toml:12: status is not allowed without listen"},
		{"key = \"n.key\"\n", "", "m1.toml:8: key is missing"},
		{"zone = \"z1\"", "sone = \"z1\"", "m1.toml:17: sone is not a key of this table: did you mean zone?"},
		{"status = \"127.0.0.1:7851\"\nfolder", "status = \"here\"\nfolder", "m1.toml:13: status is \"here\""},
		{"[[pool]]", "[[config.relay]]\nname = \"m1\"\naddress = \"127.0.0.1:1\"\n[[pool]]", "m1.toml:22: name \"m1\" is the name of two relays"},
		{"folder = \"copy\"", "streams = 0", "m1.toml:14: streams is 0"},
	} {
		_, err := parseDistribution("m1.toml", []byte(strings.Replace(distributionFile, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(strings.ReplaceAll(err.Error(), "m1.toml: ", "m1.toml:0: "), c.want) {
			t.Errorf("%s: the error is %v, want %s", c.replacement, err, c.want)
		}
	}
}

// TestRecord builds records from single tables, valid and invalid.
func TestRecord(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"pool = \"p\"\n", "name = \"one\"\npool = \"p\"\n"} {
		r, err := Record("service/s/route/one", "one.toml", []byte(text))
		if err != nil || string(r.Value) != `{"pool":"p"}` {
			t.Errorf("%q: the record is %s with error %v, want pool p and no error", text, r.Value, err)
		}
	}
	for _, c := range []struct{ key, text, want string }{
		{"pond/p", "", "is not a valid key"},
		{"pool/p", "a = 1\nb\n", "one.toml:2: invalid TOML"},
		{"pool/p", "a = nan\n", "one.toml: a value cannot be encoded in a record"},
		{"pool/p", "a = \"" + strings.Repeat("x", configlog.MaxValue) + "\"\n", "one.toml: record has "},
	} {
		_, err := Record(configlog.Key(c.key), "one.toml", []byte(c.text))
		var errs Errors
		if err == nil || !strings.Contains(err.Error(), c.want) || c.key == "pool/p" && !errors.As(err, &errs) {
			t.Errorf("%s: the error is %v, want %s", c.key, err, c.want)
		}
	}
}
