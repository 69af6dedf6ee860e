package frame

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
)

// What is no whole message is an error: too large, of no bytes, malformed, cut short, and one whose sender stalls in it.
func TestReaderRejectsInvalidMessages(t *testing.T) {
	valid, err := Append(nil, map[string]int{"n": 7}, 100)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Append(nil, strings.Repeat("x", 200), 100); err == nil {
		t.Error("a message over the bound is written")
	}
	for name, c := range map[string]struct {
		b     []byte
		stall bool
	}{
		"whole":     {valid, false},
		"too large": {[]byte{0, 0, 1, 0}, false},
		"huge":      {[]byte{0xff, 0xff, 0xff, 0xff}, false},
		"no bytes":  {[]byte{0, 0, 0, 0}, false},
		"malformed": {[]byte{0, 0, 0, 1, '{'}, false},
		"cut short": {valid[:len(valid)-1], false},
		"stalled":   {valid[:len(valid)-1], true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := net.Pipe()
			defer a.Close()
			defer b.Close()
			go func() {
				a.Write(c.b)
				if !c.stall {
					a.Close()
				}
			}()
			var got struct{ N int }
			err := NewReader(b, 0, 100).Next(&got)
			if name == "whole" {
				if err != nil || got.N != 7 {
					t.Errorf("%+v %v", got, err)
				}
				return
			}
			if err == nil || c.stall != errors.Is(err, os.ErrDeadlineExceeded) || name == "cut short" && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%v", err)
			}
		})
	}
}
