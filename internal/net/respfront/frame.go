package respfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"

	"puffinsaddle/internal/pool"
)

const (
	maxArgs            = 8         // of a command; the protocol's have 5 at most
	maxArgBytes        = 4 << 10   // bytes of a word; a body has 2 KiB at most
	maxLengthLineBytes = 32        // bytes of a line that tells a number
	maxFrameBytes      = pool.Size // bytes of a whole command
)

var errMalformed = errors.New("malformed command")

// readFrame reads the bytes of one command, and only of one whose counts and lengths are within bounds, into a
// buffer that has room for it. redcon's parser is given nothing else: a count of 9e18 keeps it busy for good
// on two dozen bytes, and a length near the largest integer makes it panic.
func readFrame(r *bufio.Reader, b []byte) ([]byte, error) {
	b, args, err := readNumber(r, b[:0], '*', maxArgs)
	if err != nil {
		return nil, err
	}
	for range args {
		var size int
		if b, size, err = readNumber(r, b, '$', maxArgBytes); err != nil {
			return nil, err
		}
		offset := len(b)
		if offset+size+2 > maxFrameBytes {
			return nil, fmt.Errorf("%w: too long", errMalformed)
		}
		b = b[:offset+size+2]
		if _, err := io.ReadFull(r, b[offset:]); err != nil {
			return nil, err
		}
		if b[len(b)-2] != '\r' || b[len(b)-1] != '\n' {
			return nil, fmt.Errorf("%w: a word does not end where it should", errMalformed)
		}
	}
	return b, nil
}

// readNumber reads a line such as $12 and tells its number, from 0 to most.
func readNumber(r *bufio.Reader, b []byte, kind byte, limit int) ([]byte, int, error) {
	offset := len(b)
	for {
		c, err := r.ReadByte()
		if err != nil {
			return nil, 0, err
		}
		if len(b) == offset && c != kind || len(b)-offset >= maxLengthLineBytes || len(b) >= maxFrameBytes {
			return nil, 0, fmt.Errorf("%w: no line with %q and a number", errMalformed, kind)
		}
		if b = append(b, c); c == '\n' {
			break
		}
	}
	line := b[offset:]
	if len(line) < 4 || line[len(line)-2] != '\r' {
		return nil, 0, fmt.Errorf("%w: %q", errMalformed, line)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 32)
	if err != nil || n > uint64(limit) {
		return nil, 0, fmt.Errorf("%w: %q", errMalformed, line)
	}
	return b, int(n), nil
}
