package publish

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func manifestLine(name, text string) string {
	return fmt.Sprintf("%x  %s\n", sha256.Sum256([]byte(text)), name)
}

// Incomplete and malformed manifests are rejected, with an error that names the line and the fault.
func TestInvalidManifestsAreRejected(t *testing.T) {
	good := manifestLine("a.yaml", "x")
	for text, want := range map[string]string{
		"":                             "the manifest lists no file",
		strings.TrimSuffix(good, "\n"): "the last line is incomplete",
		good + good:                    `line 2: "a.yaml" is listed twice`,
		"abc  a.yaml\n":                "line 1: no SHA-256",
		manifestLine("../a.yaml", "x"): `line 1: "../a.yaml" is not a file name`,
		manifestLine("..", "x"):        `line 1: ".." is not a file name`,
		strings.ToUpper(good):          "line 1: no SHA-256",
		good[:64] + "\n":               "line 1: no SHA-256",
	} {
		if _, err := ParseManifest([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// A file that is being written may be truncated at any byte: no truncated file matches the manifest.
func TestTruncatedFilesDoNotMatch(t *testing.T) {
	text := "uwsgi:\n  servers: [127.0.0.1:1]\n"
	entries, err := ParseManifest([]byte(manifestLine("operator.yaml", text)))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		if err := Match(entries, []File{{"operator.yaml", []byte(text[:n])}}); err == nil {
			t.Fatalf("a file truncated to %d bytes matches the manifest", n)
		}
	}
	if err := Match(entries, []File{{"operator.yaml", []byte(text)}}); err != nil {
		t.Error(err)
	}
	if err := Match(entries, nil); err == nil {
		t.Error("a missing file matches the manifest")
	}
}

// Version numbers count up, equal files make no new version, and a server puts a version into force only if all of it
// passes the check.
func TestVersionsApplyCompletelyOrNotAtAll(t *testing.T) {
	history := NewHistory()
	one, two := []File{{"f", []byte("1")}}, []File{{"f", []byte("2")}}
	if n, err := history.Publish(one, 0, 1); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if _, err := history.Publish(two, 0, 2); err == nil {
		t.Error("published by a publisher that does not know version 1")
	}
	if n, err := history.Publish(one, 1, 2); n != 1 || err != nil {
		t.Errorf("publishing equal files: version %d, %v, want version 1", n, err)
	}
	var selector VersionSelector
	if ack, isNew := selector.Offer(history.Latest(), func([]File) error { return nil }); !isNew || ack != (Acknowledgement{No: 1}) || selector.InForce != 1 {
		t.Errorf("%+v %v", ack, isNew)
	}
	history.Publish(two, 1, 2)
	ack, isNew := selector.Offer(history.Latest(), func([]File) error { return errors.New("key x") })
	if !isNew || ack != (Acknowledgement{2, "key x"}) || selector.InForce != 1 {
		t.Errorf("%+v %v, in force %d", ack, isNew, selector.InForce)
	}
	if _, isNew := selector.Offer(history.Latest(), nil); isNew {
		t.Error("a version was checked twice")
	}
	if err := history.Acknowledge("a", Acknowledgement{No: 3}); err == nil {
		t.Error("an acknowledgement of an unpublished version was accepted")
	}
	for n := uint64(2); n < 20; n++ {
		history.Publish([]File{{"f", []byte(fmt.Sprint("v", n))}}, n, 3)
	}
	if len(history.Versions) != maxVersions || history.Latest().No != 20 {
		t.Errorf("%d versions kept, the latest %d, want 20", len(history.Versions), history.Latest().No)
	}
}
