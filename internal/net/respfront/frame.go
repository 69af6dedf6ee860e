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
	maxArgs            = 8         // of a command, its name included; the protocol uses at most 5
	maxArgBytes        = 4 << 10   // of an argument; a body has at most 2 KiB
	maxLengthLineBytes = 32        // of a line with a count or a length
	maxFrameBytes      = pool.Size // of a complete command
)

var errMalformed = errors.New("malformed command")

// readFrame reads the bytes of one command into b, whose capacity must be maxFrameBytes or more. It rejects counts and
// lengths that are out of bounds. The parser of redcon must receive only such checked commands: a count of 9e18 makes it
// loop practically forever on some two dozen bytes, and a length near the largest integer makes it panic.
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
			return nil, fmt.Errorf("%w: too many bytes", errMalformed)
		}
		b = b[:offset+size+2]
		if _, err := io.ReadFull(r, b[offset:]); err != nil {
			return nil, err
		}
		if b[len(b)-2] != '\r' || b[len(b)-1] != '\n' {
			return nil, fmt.Errorf("%w: argument is not terminated by CRLF", errMalformed)
		}
	}
	return b, nil
}

// readNumber appends to b a line such as $12, which begins with kind, and returns the line's number, from 0 to limit.
func readNumber(r *bufio.Reader, b []byte, kind byte, limit int) ([]byte, int, error) {
	offset := len(b)
	for {
		c, err := r.ReadByte()
		if err != nil {
			return nil, 0, err
		}
		if len(b) == offset && c != kind || len(b)-offset >= maxLengthLineBytes || len(b) >= maxFrameBytes {
			return nil, 0, fmt.Errorf("%w: expected a line with %q and a number", errMalformed, kind)
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
