// Package golden holds a program to the bytes that an earlier version of it wrote: what crosses
// between processes or lies on a disk must keep its form while the code around it is renamed.
//
// The files are written by running the tests with UPDATE_GOLDEN=1 on the version to be held to.
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

// updateVariable is the environment variable under which the files are written and not compared.
const updateVariable = "UPDATE_GOLDEN"

// Updating reports whether files are written by this run.
func Updating() bool { return os.Getenv(updateVariable) != "" }

// Path is where the golden file of a name lies, below the package under test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Bytes compares what was written with the golden file of a name.
func Bytes(t testing.TB, name string, got []byte) {
	t.Helper()
	if Updating() {
		write(t, name, got)
		return
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: the written form has changed\n got %q\nwant %q", name, got, want)
	}
}

// Read gives the content of a golden file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// JSON compares the JSON of a type with golden files, for a value whose fields are all set and for
// the zero value, and reads the files back: the value must come out as it went in, and be written
// in the same bytes again.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	var zero, full T
	Fill(&full)
	jsonOf(t, name+".zero.json", zero)
	jsonOf(t, name+".json", full)
}

func jsonOf[T any](t *testing.T, name string, value T) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	Bytes(t, name, text)
	var back T
	if err := json.Unmarshal(Read(t, name), &back); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	again, err := json.Marshal(back)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, text) {
		t.Errorf("%s: read and written again it differs\n got %s\nwant %s", name, again, text)
	}
	if !strings.Contains(name, ".zero.") && !reflect.DeepEqual(back, value) {
		t.Errorf("%s: read back it differs\n got %+v\nwant %+v", name, back, value)
	}
}

// Copy copies a golden folder or file into a folder of the test, so that the test may write there.
func Copy(t testing.TB, name, to string) {
	t.Helper()
	copyTree(t, Path(name), to)
}

// Save makes a folder or file that the test has written the golden one of a name.
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
