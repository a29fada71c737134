// Package golden compares the bytes that a program writes with golden files, which an earlier version of it wrote.
// The encodings that processes exchange or store on a disk must not change while the code around them is renamed.
//
// To write the golden files, run the tests with UPDATE_GOLDEN=1 on the reference version.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// updateVariable is the environment variable that makes the tests write the golden files instead of comparing them.
const updateVariable = "UPDATE_GOLDEN"

// Updating reports whether this run writes the golden files.
func Updating() bool { return os.Getenv(updateVariable) != "" }

// Path returns the path of a golden file, relative to the directory of the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Bytes compares got with the golden file of a name, or writes that file if Updating returns true.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	if Updating() {
		write(t, name, got)
		return
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding has changed\n got %q\nwant %q", name, got, want)
	}
}

// Read returns the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// JSON compares the JSON encoding of a type with golden files, for a value with all fields set and for the zero
// value. It also decodes the files: the value with all fields set must be equal to the decoded one, and both
// decoded values must be encoded as the same bytes again.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	var zero, full T
	Fill(&full)
	checkJSON(t, name+".zero.json", zero)
	checkJSON(t, name+".json", full)
}

func checkJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, text)
	var decoded T
	if err := json.Unmarshal(Read(t, name), &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	reencoded, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(reencoded, text) {
		t.Errorf("%s: decoding and encoding changes the JSON\n got %s\nwant %s", name, reencoded, text)
	}
	if !strings.Contains(name, ".zero.") && !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s: the decoded value differs\n got %+v\nwant %+v", name, decoded, value)
	}
}

// Copy copies a golden file or directory to a path of the test, which may then modify the copy.
func Copy(t testing.TB, name, to string) {
	t.Helper()
	copyTree(t, Path(name), to)
}

// Save replaces a golden file or directory by one that the test has written.
func Save(t testing.TB, name, from string) {
	t.Helper()
	if err := os.RemoveAll(Path(name)); err != nil {
		t.Fatal(err)
	}
	copyTree(t, from, Path(name))
}

func copyTree(t testing.TB, from, to string) {
	t.Helper()
	info, err := os.Stat(from)
	if err != nil {
		t.Fatal(err)
	}
	if info.IsDir() {
		if err := os.CopyFS(to, os.DirFS(from)); err != nil {
			t.Fatal(err)
		}
		return
	}
	content, err := os.ReadFile(from)
	if err == nil {
		err = os.MkdirAll(filepath.Dir(to), 0o755)
	}
	if err == nil {
		err = os.WriteFile(to, content, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func write(t testing.TB, name string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(Path(name), content, 0o644); err != nil {
		t.Fatal(err)
	}
}
