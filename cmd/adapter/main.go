// Command adapter connects the decision module to the simulator: it reads batches of events as lines of JSON from
// standard input and writes the module's actions to standard output.
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

// run writes one line to out for each line of in, until in ends.
func run(in io.Reader, out, log io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	ad := newAdapter(log)
	for n := 1; ; n++ {
		line, err := readLine(r)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		reply, err := ad.handleBatch(line)
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

// readLine reads a line of any length. The slice is valid until the next call.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := append([]byte(nil), line...)
	rest, err := r.ReadBytes('\n')
	return append(long, rest...), err
}
