// Command adapter speaks the bench's wire on standard input and output for the decision module.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each line of in with one line on out, until in ends.
func run(in io.Reader, out, log io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	l := newAdapter(log)
	for n := 1; ; n++ {
		line, err := readLine(r)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		reply, err := l.handleBatch(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("writing reply %d: %w", n, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing reply %d: %w", n, err)
		}
	}
}

// readLine reads a line of any length; the slice is good until the next call where the line is short.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	rest, err := r.ReadBytes('\n')
	return append(long, rest...), err
}
