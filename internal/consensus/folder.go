package consensus

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
)

// Why a folder cannot be used.
var (
	ErrNoFolder = errors.New("no voter has begun here: begin a new group, or join one")
	ErrLogGone  = errors.New("the log of this voter is gone or empty: it has voted and cannot know for whom; remove it from the group, and let another join from an empty folder")
	ErrLogTorn  = errors.New("the log of this voter is damaged: remove it from the group, and let another join from an empty folder")
)

// identity is who a voter is, for as long as its folder is there.
type identity struct {
	ID     string            `json:"ID"`
	Voters map[string]string `json:"Voters,omitempty"` // the first ones, by id, of one that began a group
	Begun  bool              `json:"Begun,omitempty"`  // its log has been written
}

const identityFile = "identity.json"

// Begin makes the folder of one of a new group's first voters, given by name with their
// addresses. Each of them is begun once, with the same voters.
func Begin(dir, name string, voters map[string]string) error {
	if n := len(voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("beginning a group of %d voters: want 1, 3 or 5", n)
	}
	if voters[name] == "" {
		return fmt.Errorf("beginning a group: %q is none of its voters: want one of %v", name, slices.Sorted(maps.Keys(voters)))
	}
	return found(dir, identity{ID: name, Voters: voters})
}

// Join makes the folder of a voter that a group is to take in. It has an identity of its
// own, whatever voter had its name before.
func Join(dir, name string) error {
	var life [6]byte
	_, _ = rand.Read(life[:]) // it never fails
	return found(dir, identity{ID: name + "~" + hex.EncodeToString(life[:])})
}

func found(dir string, who identity) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("making a voter's folder: %w", err)
	}
	there, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("making a voter's folder: %w", err)
	}
	if len(there) > 0 {
		return fmt.Errorf("making a voter's folder: %s is not empty", dir)
	}
	return who.write(dir)
}

// write puts the identity in place whole, or leaves what was there.
func (who identity) write(dir string) error {
	text, err := json.Marshal(who)
	if err != nil {
		return fmt.Errorf("writing a voter's identity: %w", err)
	}
	f, err := os.CreateTemp(dir, identityFile+".*")
	if err != nil {
		return fmt.Errorf("writing a voter's identity: %w", err)
	}
	defer os.Remove(f.Name()) // gone already where it went well
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, identityFile))
	}
	if err == nil {
		err = syncDir(dir)
	}
	if err != nil {
		return fmt.Errorf("writing a voter's identity: %w", err)
	}
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Identity is that of a folder's voter.
func Identity(dir string) (string, error) {
	who, err := readIdentity(dir)
	return who.ID, err
}

func readIdentity(dir string) (who identity, err error) {
	text, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, os.ErrNotExist) {
		return who, fmt.Errorf("%s: %w", dir, ErrNoFolder)
	}
	if err == nil {
		err = json.Unmarshal(text, &who)
	}
	if err == nil && who.ID == "" {
		err = errors.New("it names nobody")
	}
	if err != nil {
		return who, fmt.Errorf("reading a voter's identity: %w", err)
	}
	return who, nil
}
