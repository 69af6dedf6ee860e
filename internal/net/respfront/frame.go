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
	mostWords = 8         // arguments of a command, its name included; the protocol uses at most 5
	mostBulk  = 4 << 10   // of an argument; a body has at most 2 KiB
	mostLine  = 32        // of a line with a count or a length
	mostFrame = pool.Size // of a complete command
)

var errFrame = errors.New("malformed command")

// readFrame reads the bytes of one command into b, whose capacity must be mostFrame or more. It rejects counts and lengths
// that are out of bounds. The parser of redcon must receive only such checked commands: a count of 9e18 makes it loop
// practically forever on some 24 bytes, and a length near the largest integer makes it panic.
func readFrame(r *bufio.Reader, b []byte) ([]byte, error) {
	b, words, err := readNumber(r, b[:0], '*', mostWords)
	if err != nil {
		return nil, err
	}
	for range words {
		var size int
		if b, size, err = readNumber(r, b, '$', mostBulk); err != nil {
			return nil, err
		}
		begin := len(b)
		if begin+size+2 > mostFrame {
			return nil, fmt.Errorf("%w: too many bytes", errFrame)
		}
		b = b[:begin+size+2]
		if _, err := io.ReadFull(r, b[begin:]); err != nil {
			return nil, err
		}
		if b[len(b)-2] != '\r' || b[len(b)-1] != '\n' {
			return nil, fmt.Errorf("%w: argument is not terminated by CRLF", errFrame)
		}
	}
	return b, nil
}

// readNumber appends to b a line such as $12, which begins with kind, and returns the line's number, from 0 to most.
func readNumber(r *bufio.Reader, b []byte, kind byte, most int) ([]byte, int, error) {
	begin := len(b)
	for {
		c, err := r.ReadByte()
		if err != nil {
			return nil, 0, err
		}
		if len(b) == begin && c != kind || len(b)-begin >= mostLine || len(b) >= mostFrame {
			return nil, 0, fmt.Errorf("%w: expected a line with %q and a number", errFrame, kind)
		}
		if b = append(b, c); c == '\n' {
			break
		}
	}
	line := b[begin:]
	if len(line) < 4 || line[len(line)-2] != '\r' {
		return nil, 0, fmt.Errorf("%w: %q", errFrame, line)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 32)
	if err != nil || n > uint64(most) {
		return nil, 0, fmt.Errorf("%w: %q", errFrame, line)
	}
	return b, int(n), nil
}
