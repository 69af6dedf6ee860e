// Package frame is the one form of messages between processes of this program: a length of four bytes, the highest first,
// and so many bytes, which are JSON unless both sides agree on another encoding. What is malformed, too large or too slow in
// coming is an error, after which the connection is of no use.
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

// MessageTimeout is the time in which a message is read whole from its first byte, or written.
const MessageTimeout = 2 * time.Second

// Append writes a message behind what b holds; most bounds its bytes.
func Append(b []byte, v any, maxSize int) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return b, err
	}
	return AppendBytes(b, text, maxSize)
}

// AppendBytes writes a message whose content is encoded already behind what b holds; most bounds its bytes.
func AppendBytes(b, content []byte, maxSize int) ([]byte, error) {
	if len(content) > maxSize {
		return b, fmt.Errorf("frame: a message of %d bytes, %d at most", len(content), maxSize)
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

// NewReader reads messages of so many bytes at most. idle is how long the first byte of one may take; 0: any time.
func NewReader(conn net.Conn, idleTimeout time.Duration, maxSize int) *Reader {
	return &Reader{conn: conn, r: bufio.NewReaderSize(conn, 16<<10), idleTimeout: idleTimeout, maxSize: maxSize}
}

// Next reads one message.
func (r *Reader) Next(into any) error {
	b, err := r.NextBytes()
	if err != nil {
		return err
	}
	return Decode(b, into)
}

// Decode reads the content of a message.
func Decode(content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("frame: malformed: %w", err)
	}
	return nil
}

// NextBytes reads the content of one message, of whatever encoding.
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
		return nil, fmt.Errorf("frame: a message of %d bytes, %d at most", n, r.maxSize)
	}
	// Read as it comes: a length alone must take no memory.
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r.r, n); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Send writes one message.
func Send(conn net.Conn, v any, maxSize int) error {
	b, err := Append(nil, v, maxSize)
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(MessageTimeout))
	_, err = conn.Write(b)
	return err
}

// Remainder is what comes behind the last message, of whatever form; more is where it goes on once what was read ahead is used up.
func (r *Reader) Remainder(more io.Reader) io.Reader {
	buffered, _ := r.r.Peek(r.r.Buffered())
	return io.MultiReader(bytes.NewReader(buffered), more)
}
