package configsync

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"jasperpin/internal/atomicfile"
	"jasperpin/internal/configlog"
	"jasperpin/internal/lengthprefix"
)

// snapshotHeader is the first line of a snapshot file.
const snapshotHeader = "jasperpin configuration 1\n"

// errCopyDamaged is returned for a copy that is truncated or damaged.
var errCopyDamaged = errors.New("copy is damaged")

// openRead opens a file for reading. It is a variable so that tests can make it fail.
var openRead = func(path string) (io.ReadCloser, error) { return os.Open(path) }

// readSnapshot reads a snapshot file and verifies its digest. The error wraps errCopyDamaged if the content is damaged
// or cannot be read.
func readSnapshot(path string) (*configlog.State, error) {
	file, err := openRead(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	s, err := decodeSnapshot(bufio.NewReaderSize(file, configlog.ChunkBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errCopyDamaged, path, err)
	}
	return s, nil
}

// decodeSnapshot decodes the content of a snapshot file.
func decodeSnapshot(r *bufio.Reader) (*configlog.State, error) {
	header := make([]byte, len(snapshotHeader))
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, err
	}
	if string(header) != snapshotHeader {
		return nil, fmt.Errorf("header is %q, want %q", header, snapshotHeader)
	}
	builder := configlog.NewSnapshotBuilder()
	var buf []byte
	for {
		var err error
		if buf, err = readFrame(r, buf, configlog.MaxChunkWithoutLog); err != nil {
			return nil, err
		}
		chunk, err := configlog.DecodeChunk(buf)
		if err != nil {
			return nil, err
		}
		s, err := builder.Add(chunk)
		if err != nil {
			return nil, err
		}
		if s == nil {
			continue
		}
		if _, err := r.ReadByte(); err != io.EOF {
			return nil, errors.New("data after the last chunk")
		}
		return s, nil
	}
}

// readChanges applies the stored changes to a state. It returns the length in bytes of the valid prefix of the file.
func readChanges(path string, s *configlog.State) (good int64, err error) {
	file, err := openRead(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, compactBytes+2*configlog.MaxEncodedChange))
	if err != nil {
		return 0, err
	}
	n, err := configlog.Replay(s, text)
	if err != nil {
		return int64(n), fmt.Errorf("%w: %s at byte %d: %w", errCopyDamaged, path, n, err)
	}
	return int64(n), nil
}

// writeSnapshot replaces a directory's snapshot atomically.
func writeSnapshot(dir string, s configlog.Snapshot) error {
	return atomicfile.Write(filepath.Join(dir, snapshotFile), func(file io.Writer) error {
		w := bufio.NewWriterSize(file, configlog.ChunkBytes)
		if _, err := w.WriteString(snapshotHeader); err != nil {
			return err
		}
		for chunk := (configlog.SnapshotChunk{}); !chunk.Last; {
			chunk = s.Chunk(chunk)
			if _, err := w.Write(lengthprefix.Finish(configlog.AppendChunk(lengthprefix.Begin(nil), chunk))); err != nil {
				return err
			}
		}
		return w.Flush()
	})
}
