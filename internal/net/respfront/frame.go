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
	mostWords = 8         // of a command; the protocol's have 5 at most
	mostBulk  = 4 << 10   // bytes of a word; a body has 2 KiB at most
	mostLine  = 32        // bytes of a line that tells a number
	mostFrame = pool.Size // bytes of a whole command
)

var errFrame = errors.New("malformed command")

// readFrame reads the bytes of one command, and only of one whose counts and lengths are within bounds, into a
// buffer that has room for it. redcon's parser is given nothing else: a count of 9e18 keeps it busy for good
// on two dozen bytes, and a length near the largest integer makes it panic.
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
			return nil, fmt.Errorf("%w: too long", errFrame)
		}
		b = b[:begin+size+2]
		if _, err := io.ReadFull(r, b[begin:]); err != nil {
			return nil, err
		}
		if b[len(b)-2] != '\r' || b[len(b)-1] != '\n' {
			return nil, fmt.Errorf("%w: a word does not end where it should", errFrame)
		}
	}
	return b, nil
}

// readNumber reads a line such as $12 and tells its number, from 0 to most.
func readNumber(r *bufio.Reader, b []byte, kind byte, most int) ([]byte, int, error) {
	begin := len(b)
	for {
		c, err := r.ReadByte()
		if err != nil {
			return nil, 0, err
		}
		if len(b) == begin && c != kind || len(b)-begin >= mostLine || len(b) >= mostFrame {
			return nil, 0, fmt.Errorf("%w: no line with %q and a number", errFrame, kind)
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
