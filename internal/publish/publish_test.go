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

func TestInvalidManifestsAreRejected(t *testing.T) {
	good := manifestLine("a.yaml", "x")
	for text, want := range map[string]string{
		"":                             "names no file",
		strings.TrimSuffix(good, "\n"): "the last line is not whole",
		good + good:                    `line 2: "a.yaml" stands twice`,
		"abc  a.yaml\n":                "line 1: no sha256",
		manifestLine("../a.yaml", "x"): `line 1: "../a.yaml" is no file`,
		manifestLine("..", "x"):        `line 1: ".." is no file`,
		strings.ToUpper(good):          "line 1: no sha256",
		good[:64] + "\n":               "line 1: no sha256",
	} {
		if _, err := ParseManifest([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// A file that is being written is cut off somewhere: at none of these places does it pass for the whole.
func TestTruncatedFilesDoNotMatch(t *testing.T) {
	text := "uwsgi:\n  servers: [127.0.0.1:1]\n"
	entries, err := ParseManifest([]byte(manifestLine("operator.yaml", text)))
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(text) {
		if err := Match(entries, []File{{"operator.yaml", []byte(text[:n])}}); err == nil {
			t.Fatalf("the first %d bytes pass", n)
		}
	}
	if err := Match(entries, []File{{"operator.yaml", []byte(text)}}); err != nil {
		t.Error(err)
	}
	if err := Match(entries, nil); err == nil {
		t.Error("a missing file passes")
	}
}

func TestVersionsApplyCompletelyOrNotAtAll(t *testing.T) {
	b := NewHistory()
	one, two := []File{{"f", []byte("1")}}, []File{{"f", []byte("2")}}
	if n, err := b.Publish(one, 0, 1); n != 1 || err != nil {
		t.Fatal(n, err)
	}
	if _, err := b.Publish(two, 0, 2); err == nil {
		t.Error("published by one who knew of no version 1")
	}
	if n, err := b.Publish(one, 1, 2); n != 1 || err != nil {
		t.Errorf("the same files again: version %d, %v", n, err)
	}
	var k VersionSelector
	if ack, isNew := k.Offer(b.Latest(), func([]File) error { return nil }); !isNew || ack != (Acknowledgement{No: 1}) || k.InForce != 1 {
		t.Errorf("%+v %v", ack, isNew)
	}
	b.Publish(two, 1, 2)
	ack, isNew := k.Offer(b.Latest(), func([]File) error { return errors.New("key x") })
	if !isNew || ack != (Acknowledgement{2, "key x"}) || k.InForce != 1 {
		t.Errorf("%+v %v, in force %d", ack, isNew, k.InForce)
	}
	if _, isNew := k.Offer(b.Latest(), nil); isNew {
		t.Error("looked at twice")
	}
	if err := b.Acknowledge("a", Acknowledgement{No: 3}); err == nil {
		t.Error("a word on a version that was never out")
	}
	for n := uint64(2); n < 20; n++ {
		b.Publish([]File{{"f", []byte(fmt.Sprint("v", n))}}, n, 3)
	}
	if len(b.Versions) != maxVersions || b.Latest().No != 20 {
		t.Errorf("%d versions kept, the latest %d", len(b.Versions), b.Latest().No)
	}
}
