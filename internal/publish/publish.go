// Package publish decides which files make a version of the configuration, and keeps the versions. It is free of I/O.
//
// Files are published with a manifest beside them, in the form that sha256sum writes: a file that is being written, or
// that its writer left half done, does not match its line there, and then nothing is published.
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

// Bounds of a version.
const (
	MaxFiles    = 16
	MaxBytes    = 256 << 10
	maxVersions = 8 // versions that are remembered
)

// ManifestEntry is one line of a manifest.
type ManifestEntry struct{ Digest, Name string }

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ParseManifest reads a manifest. Its names are of files in its own folder.
func ParseManifest(text []byte) ([]ManifestEntry, error) {
	var entries []ManifestEntry
	if len(text) > 0 && text[len(text)-1] != '\n' {
		return nil, errors.New("the last line is not whole")
	}
	s := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; s.Scan(); line++ {
		d, name, ok := strings.Cut(s.Text(), " ")
		name = strings.TrimPrefix(strings.TrimPrefix(name, " "), "*")
		switch {
		case !ok || !digestPattern.MatchString(d):
			return nil, fmt.Errorf("line %d: no sha256 digest and name", line)
		case name == "" || name != filepath.Base(name) || name == "." || name == "..":
			return nil, fmt.Errorf("line %d: %q is no file in the manifest's folder", line, name)
		case slices.ContainsFunc(entries, func(o ManifestEntry) bool { return o.Name == name }):
			return nil, fmt.Errorf("line %d: %q stands twice", line, name)
		}
		entries = append(entries, ManifestEntry{d, name})
	}
	switch {
	case s.Err() != nil:
		return nil, s.Err()
	case len(entries) == 0:
		return nil, errors.New("names no file")
	case len(entries) > MaxFiles:
		return nil, fmt.Errorf("names %d files, %d at most", len(entries), MaxFiles)
	}
	return entries, nil
}

// File is one file of a version.
type File struct {
	Name string `json:"name"`
	Text []byte `json:"text"`
}

// Match tells whether files are what a manifest says, and names the first that is not.
func Match(entries []ManifestEntry, files []File) error {
	size := 0
	for i, s := range entries {
		if i >= len(files) || files[i].Name != s.Name {
			return fmt.Errorf("%s is missing", s.Name)
		}
		size += len(files[i].Text)
		if sum := sha256.Sum256(files[i].Text); hex.EncodeToString(sum[:]) != s.Digest {
			return fmt.Errorf("%s is not what the manifest says: it is being written, or was changed without it", s.Name)
		}
	}
	if size > MaxBytes {
		return fmt.Errorf("%d bytes in all, %d at most", size, MaxBytes)
	}
	return nil
}

// Version is one published set of files, whole.
type Version struct {
	No    uint64 `json:"no"`
	Epoch uint64 `json:"epoch"` // of the publisher's duty
	Files []File `json:"files"`
}

// Digest tells versions of the same files apart from others.
func Digest(files []File) string {
	h := sha256.New()
	for _, f := range files {
		fmt.Fprintf(h, "%d %s %d ", len(f.Name), f.Name, len(f.Text))
		h.Write(f.Text)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Acknowledgement is what a server made of a version.
type Acknowledgement struct {
	No     uint64 `json:"no"`
	Reason string `json:"reason,omitempty"` // why it was turned down; "": it was taken whole
}

// History is what all copies agree on. Its methods are steps of the log.
type History struct {
	Versions         []Version                  `json:"versions,omitempty"` // the latest last
	Acknowledgements map[string]Acknowledgement `json:"words,omitempty"`    // by process
}

// NewHistory is an empty book.
func NewHistory() *History { return &History{Acknowledgements: map[string]Acknowledgement{}} }

// Clone copies a book; versions are never changed once they stand.
func (b *History) Clone() *History {
	c := &History{Versions: slices.Clone(b.Versions), Acknowledgements: make(map[string]Acknowledgement, len(b.Acknowledgements))}
	for k, v := range b.Acknowledgements {
		c.Acknowledgements[k] = v
	}
	return c
}

// Latest is the latest version; its number is 0 where there is none.
func (b *History) Latest() Version {
	if len(b.Versions) == 0 {
		return Version{}
	}
	return b.Versions[len(b.Versions)-1]
}

// Publish adds a version after the one that the publisher knew. The same files again are no new version.
func (b *History) Publish(files []File, known, epoch uint64) (uint64, error) {
	last := b.Latest()
	switch {
	case last.No != known:
		return 0, fmt.Errorf("publish: version %d is out, and the publisher knew %d", last.No, known)
	case len(files) == 0 || len(files) > MaxFiles:
		return 0, fmt.Errorf("publish: %d files", len(files))
	case last.No > 0 && Digest(last.Files) == Digest(files):
		return last.No, nil
	}
	b.Versions = append(b.Versions, Version{No: last.No + 1, Epoch: epoch, Files: files})
	if len(b.Versions) > maxVersions {
		b.Versions = slices.Clone(b.Versions[len(b.Versions)-maxVersions:])
	}
	return last.No + 1, nil
}

// Acknowledge books what a process made of a version; it may not speak of one that was never out.
func (b *History) Acknowledge(process string, ack Acknowledgement) error {
	if ack.No == 0 || ack.No > b.Latest().No {
		return fmt.Errorf("publish: there is no version %d", ack.No)
	}
	if len(ack.Reason) > 512 {
		ack.Reason = ack.Reason[:512]
	}
	b.Acknowledgements[process] = ack
	return nil
}

// Drop forgets a process that is gone.
func (b *History) Drop(process string) { delete(b.Acknowledgements, process) }

// VersionSelector decides on a server's side which version is in force: the latest that it could take whole.
type VersionSelector struct {
	InForce     uint64
	LastChecked uint64 // the latest that was looked at
}

// Offer looks at a version by the server's own check and returns the word on it; fresh: it was not looked at before.
func (k *VersionSelector) Offer(v Version, check func([]File) error) (ack Acknowledgement, isNew bool) {
	if v.No <= k.LastChecked {
		return Acknowledgement{}, false
	}
	k.LastChecked = v.No
	ack.No = v.No
	if err := check(v.Files); err != nil {
		ack.Reason = err.Error()
		return ack, true
	}
	k.InForce = v.No
	return ack, true
}
