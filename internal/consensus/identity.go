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

// identity identifies the voter of a directory. Its ID does not change while the directory exists: a voter that
// lost its log must not vote again with the same ID.
type identity struct {
	ID string `json:"ID"`
	// Voters are the addresses of a new cluster's voters by id; empty for a voter that joins a cluster.
	Voters map[string]string `json:"Voters,omitempty"`
	// Started is whether the log has had entries. If it is set and the log is empty, the log was lost.
	Started bool `json:"Begun,omitempty"`
}

const (
	identityFile = "identity.json"
	// joinedIDBytes is the size of the random part of a joining voter's id. It makes the ids of voters with the
	// same name unique.
	joinedIDBytes = 6
)

// Bootstrap creates the directory of one voter of a new cluster. The map voters has the address of each voter by
// name. Bootstrap must be called once for each of the voters, with the same map.
func Bootstrap(dir, name string, voters map[string]string) error {
	if n := len(voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("bootstrapping a cluster: %d voters, want 1, 3 or 5", n)
	}
	if voters[name] == "" {
		return fmt.Errorf("bootstrapping a cluster: unknown voter %q, want one of %v", name, slices.Sorted(maps.Keys(voters)))
	}
	return createVoterDir(dir, identity{ID: name, Voters: voters})
}

// Join creates the directory of a voter that will be added to a running cluster. The voter's id is unique, even if
// an earlier voter had the same name.
func Join(dir, name string) error {
	var suffix [joinedIDBytes]byte
	_, _ = rand.Read(suffix[:]) // never returns an error
	return createVoterDir(dir, identity{ID: name + "~" + hex.EncodeToString(suffix[:])})
}

// createVoterDir creates a directory that contains only an identity file.
func createVoterDir(dir string, id identity) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("creating a voter's directory: %w", err)
	}
	found, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("creating a voter's directory: %w", err)
	}
	if len(found) > 0 {
		return fmt.Errorf("creating a voter's directory: %s is not empty", dir)
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

// Identity returns the id of a directory's voter. The error wraps ErrNotInitialized if the directory has
// no identity.
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
