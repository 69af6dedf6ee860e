// Package frame implements the length-prefixed messages that processes of this program exchange: a big-endian length of four
// bytes followed by the content, which is JSON unless both sides agree on another encoding. A message that is malformed, too
// large or too slow is an error, after which the connection cannot be used any further.
package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// MessageTimeout is the timeout for reading a complete message, counted from its first byte, and for writing one.
const MessageTimeout = 2 * time.Second

// Append encodes v as JSON and appends it to b as a message. Content of more than maxSize bytes is an error.
func Append(b []byte, v any, maxSize int) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return b, err
	}
	return AppendBytes(b, text, maxSize)
}

// AppendBytes appends a message with already encoded content to b. Content of more than maxSize bytes is an error.
func AppendBytes(b, content []byte, maxSize int) ([]byte, error) {
	if len(content) > maxSize {
		return b, fmt.Errorf("frame: message of %d bytes exceeds the limit of %d", len(content), maxSize)
	}
	return append(binary.BigEndian.AppendUint32(b, uint32(len(content))), content...), nil
}

// Reader reads messages from a connection.
type Reader struct {
	conn        net.Conn
	r           *bufio.Reader
	idleTimeout time.Duration
	maxSize     int
}

// NewReader returns a reader of messages with at most maxSize bytes of content. The first byte of each message must arrive within
// idleTimeout; 0 means no limit.
func NewReader(conn net.Conn, idleTimeout time.Duration, maxSize int) *Reader {
	return &Reader{conn: conn, r: bufio.NewReaderSize(conn, 16<<10), idleTimeout: idleTimeout, maxSize: maxSize}
}

// Next reads one message and decodes its JSON content.
func (r *Reader) Next(into any) error {
	b, err := r.NextBytes()
	if err != nil {
		return err
	}
	return Decode(b, into)
}

// Decode decodes the JSON content of a message.
func Decode(content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("frame: malformed message: %w", err)
	}
	return nil
}

// NextBytes reads one message and returns its content undecoded.
func (r *Reader) NextBytes() ([]byte, error) {
	var deadline time.Time
	if r.idleTimeout > 0 {
		deadline = time.Now().Add(r.idleTimeout)
	}
	r.conn.SetReadDeadline(deadline)
	if _, err := r.r.Peek(1); err != nil {
		return nil, err
	}
	r.conn.SetReadDeadline(time.Now().Add(MessageTimeout))
	var header [4]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		return nil, err
	}
	n := int64(binary.BigEndian.Uint32(header[:]))
	if n == 0 || n > int64(r.maxSize) {
		return nil, fmt.Errorf("frame: message length %d is not between 1 and %d", n, r.maxSize)
	}
	// The buffer grows with the bytes that arrive: a length prefix alone must not allocate memory.
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r.r, n); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Send encodes v as JSON and writes it as one message.
func Send(conn net.Conn, v any, maxSize int) error {
	b, err := Append(nil, v, maxSize)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(MessageTimeout))
	_, err = conn.Write(b)
	return err
}

// Remainder returns a reader of the raw bytes after the last message: first those already buffered, then those of more.
func (r *Reader) Remainder(more io.Reader) io.Reader {
	buffered, _ := r.r.Peek(r.r.Buffered())
	return io.MultiReader(bytes.NewReader(buffered), more)
}
