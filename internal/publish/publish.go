// Package publish decides which files form a version of the configuration, and keeps the versions. It does no I/O.
//
// Files are published with a manifest in the format of sha256sum. Nothing is published while a file does not match its
// digest in the manifest, for example because it is being written or its writer left it incomplete.
package publish

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// Limits of versions.
const (
	MaxFiles    = 16        // files of a version
	MaxBytes    = 256 << 10 // bytes of all files of a version
	maxVersions = 8         // versions in the history
)

// ManifestEntry is one line of a manifest.
type ManifestEntry struct{ Digest, Name string }

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ParseManifest parses a manifest, which names files of its own directory.
func ParseManifest(text []byte) ([]ManifestEntry, error) {
	var entries []ManifestEntry
	if len(text) > 0 && text[len(text)-1] != '\n' {
		return nil, errors.New("the last line is incomplete: it has no line break")
	}
	s := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; s.Scan(); line++ {
		d, name, ok := strings.Cut(s.Text(), " ")
		name = strings.TrimPrefix(strings.TrimPrefix(name, " "), "*")
		switch {
		case !ok || !digestPattern.MatchString(d):
			return nil, fmt.Errorf("line %d: no SHA-256 digest and file name", line)
		case name == "" || name != filepath.Base(name) || name == "." || name == "..":
			return nil, fmt.Errorf("line %d: %q is not a file name in the manifest's directory", line, name)
		case slices.ContainsFunc(entries, func(o ManifestEntry) bool { return o.Name == name }):
			return nil, fmt.Errorf("line %d: %q is listed twice", line, name)
		}
		entries = append(entries, ManifestEntry{d, name})
	}
	switch {
	case s.Err() != nil:
		return nil, s.Err()
	case len(entries) == 0:
		return nil, errors.New("the manifest lists no file")
	case len(entries) > MaxFiles:
		return nil, fmt.Errorf("the manifest lists %d files; the maximum is %d", len(entries), MaxFiles)
	}
	return entries, nil
}

// File is one file of a version.
type File struct {
	Name string `json:"name"`
	Text []byte `json:"text"`
}

// Match returns an error that names the first file that does not match the manifest, if any.
func Match(entries []ManifestEntry, files []File) error {
	size := 0
	for i, entry := range entries {
		if i >= len(files) || files[i].Name != entry.Name {
			return fmt.Errorf("%s is missing", entry.Name)
		}
		size += len(files[i].Text)
		if sum := sha256.Sum256(files[i].Text); hex.EncodeToString(sum[:]) != entry.Digest {
			return fmt.Errorf("%s does not match the manifest: it is incomplete, or was changed without the manifest", entry.Name)
		}
	}
	if size > MaxBytes {
		return fmt.Errorf("%d bytes in total; the maximum is %d", size, MaxBytes)
	}
	return nil
}

// Version is one complete published set of files.
type Version struct {
	No    uint64 `json:"no"`    // counts from 1
	Epoch uint64 `json:"epoch"` // of the publisher's duty
	Files []File `json:"files"`
}

// Digest returns a digest of the names and contents of files; versions with the same files have the same digest.
func Digest(files []File) string {
	h := sha256.New()
	for _, f := range files {
		fmt.Fprintf(h, "%d %s %d ", len(f.Name), f.Name, len(f.Text))
		h.Write(f.Text)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Acknowledgement is a server's response to a version.
type Acknowledgement struct {
	No     uint64 `json:"no"`
	Reason string `json:"reason,omitempty"` // why the version was rejected; empty: it was applied
}

// History is the replicated state: the latest versions and the servers' acknowledgements. Its methods are called in the
// order of the raft log, so they must be deterministic.
type History struct {
	Versions         []Version                  `json:"versions,omitempty"` // in order, the latest last
	Acknowledgements map[string]Acknowledgement `json:"words,omitempty"`    // by process
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{Acknowledgements: map[string]Acknowledgement{}} }

// Clone returns a copy that shares the versions, which are never changed once published.
func (h *History) Clone() *History {
	c := &History{Versions: slices.Clone(h.Versions), Acknowledgements: make(map[string]Acknowledgement, len(h.Acknowledgements))}
	for k, v := range h.Acknowledgements {
		c.Acknowledgements[k] = v
	}
	return c
}

// Latest returns the latest version, or one with the number 0 if there is none.
func (h *History) Latest() Version {
	if len(h.Versions) == 0 {
		return Version{}
	}
	return h.Versions[len(h.Versions)-1]
}

// Publish adds a version and returns its number. It fails unless known, the number of the latest version that the
// publisher knows, is that of the latest version. Files that equal those of the latest version make no new version.
func (h *History) Publish(files []File, known, epoch uint64) (uint64, error) {
	last := h.Latest()
	switch {
	case last.No != known:
		return 0, fmt.Errorf("publish: the latest version is %d, and the publisher knows %d", last.No, known)
	case len(files) == 0 || len(files) > MaxFiles:
		return 0, fmt.Errorf("publish: %d files", len(files))
	case last.No > 0 && Digest(last.Files) == Digest(files):
		return last.No, nil
	}
	h.Versions = append(h.Versions, Version{No: last.No + 1, Epoch: epoch, Files: files})
	if len(h.Versions) > maxVersions {
		h.Versions = slices.Clone(h.Versions[len(h.Versions)-maxVersions:])
	}
	return last.No + 1, nil
}

// Acknowledge records a process's acknowledgement of a version; one of a version that was never published is an error.
func (h *History) Acknowledge(process string, ack Acknowledgement) error {
	if ack.No == 0 || ack.No > h.Latest().No {
		return fmt.Errorf("publish: there is no version %d", ack.No)
	}
	if len(ack.Reason) > 512 {
		ack.Reason = ack.Reason[:512]
	}
	h.Acknowledgements[process] = ack
	return nil
}

// Drop removes the acknowledgement of a process that is gone.
func (h *History) Drop(process string) { delete(h.Acknowledgements, process) }

// VersionSelector decides in a server which version is in force: the latest whose files all passed the server's check.
type VersionSelector struct {
	InForce     uint64 // number of the version in force
	LastChecked uint64 // number of the latest version checked
}

// Offer checks a version, unless it was checked before, and returns the acknowledgement and whether it is a new one.
func (s *VersionSelector) Offer(v Version, check func([]File) error) (ack Acknowledgement, isNew bool) {
	if v.No <= s.LastChecked {
		return Acknowledgement{}, false
	}
	s.LastChecked = v.No
	ack.No = v.No
	if err := check(v.Files); err != nil {
		ack.Reason = err.Error()
		return ack, true
	}
	s.InForce = v.No
	return ack, true
}
