package consensus

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"jasperpin/internal/atomicfile"
)

// identity says which voter a directory is of. It never changes while the directory exists: a voter
// that lost its log must not vote under the same identity again.
type identity struct {
	ID string `json:"ID"`
	// Voters are the addresses of a new cluster's voters by id; empty for a voter that joins one.
	Voters map[string]string `json:"Voters,omitempty"`
	// Started says that the log has entries. An empty log found later was lost.
	Started bool `json:"Begun,omitempty"`
}

const (
	identityFile = "identity.json"
	// joinedIDBytes is the random part of a joining voter's id: two of one name never share an id.
	joinedIDBytes = 6
)

// Bootstrap makes the directory of one of a new cluster's voters, which are given by name with their
// addresses. It is called once for each of them, with the same voters.
func Bootstrap(dir, name string, voters map[string]string) error {
	if n := len(voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("beginning a cluster of %d voters: want 1, 3 or 5", n)
	}
	if voters[name] == "" {
		return fmt.Errorf("beginning a cluster: %q is none of its voters: want one of %v", name, slices.Sorted(maps.Keys(voters)))
	}
	return createVoterDir(dir, identity{ID: name, Voters: voters})
}

// Join makes the directory of a voter that a running cluster is to add. Its id is new, whatever
// voter had its name before.
func Join(dir, name string) error {
	var suffix [joinedIDBytes]byte
	_, _ = rand.Read(suffix[:]) // it never returns an error
	return createVoterDir(dir, identity{ID: name + "~" + hex.EncodeToString(suffix[:])})
}

// createVoterDir makes a directory that holds nothing but an identity.
func createVoterDir(dir string, id identity) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("making a voter's directory: %w", err)
	}
	found, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("making a voter's directory: %w", err)
	}
	if len(found) > 0 {
		return fmt.Errorf("making a voter's directory: %s is not empty", dir)
	}
	return id.write(dir)
}

// write replaces the identity file atomically.
func (id identity) write(dir string) error {
	text, err := json.Marshal(id)
	if err != nil {
		return fmt.Errorf("encoding a voter's identity: %w", err)
	}
	err = atomicfile.Write(filepath.Join(dir, identityFile), func(w io.Writer) error {
		_, err := w.Write(text)
		return err
	})
	if err != nil {
		return fmt.Errorf("writing a voter's identity: %w", err)
	}
	return nil
}

// Identity returns the id of a directory's voter. The error wraps ErrNotInitialized where there is none.
func Identity(dir string) (string, error) {
	id, err := readIdentity(dir)
	return id.ID, err
}

func readIdentity(dir string) (id identity, err error) {
	text, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return id, fmt.Errorf("%s: %w", dir, ErrNotInitialized)
	}
	if err == nil {
		err = json.Unmarshal(text, &id)
	}
	if err == nil && id.ID == "" {
		err = fmt.Errorf("%s has no id", identityFile)
	}
	if err != nil {
		return id, fmt.Errorf("reading a voter's identity: %w", err)
	}
	return id, nil
}
