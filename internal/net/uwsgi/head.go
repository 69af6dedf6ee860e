package uwsgi

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"strings"

	"puffinsaddle/internal/pool"
)

// The variables of a request are read one by one, and only those that have a meaning here are kept: a packet with thousands of
// variables takes no more memory than one with a dozen, also while it arrives slowly.

const (
	maxVars       = 1000    // of a packet; gateways send some dozens
	maxValueBytes = 4 << 10 // of a variable that is kept
	maxKeptBytes  = 8 << 10 // of all variables that are kept

	readBufferBytes = 1 << 10 // of a connection whose request is being read
)

const (
	varContentLength = "CONTENT_LENGTH"
	varPathInfo      = "PATH_INFO"
	varRequestURI    = "REQUEST_URI"
)

// keptVars are the variables that have a meaning for the front.
var keptVars = map[string]bool{
	varClass: true, varID: true, varArrival: true, varWait: true, varCaller: true, varRetry: true, varKey: true, varKB: true,
	varRank: true, varIdempotencyKey: true, varTenant: true, varCost: true,
	varContentLength: true, varPathInfo: true, varRequestURI: true,
}

var maxKeptNameBytes = func() (longest int) {
	for name := range keptVars {
		longest = max(longest, len(name))
	}
	return longest
}()

// headReader reads the variables of one packet.
type headReader struct {
	r         *bufio.Reader
	remaining int // bytes of the variables that are not read yet
	keptBytes int
}

// readHead reads the header of a packet and its variables, and returns those that have a meaning. It returns io.EOF if the
// connection ends before the first byte.
func readHead(r *bufio.Reader) (vars map[string]string, err error) {
	size, err := readPacketHeader(r)
	if err != nil {
		return nil, err
	}
	h := &headReader{r: r, remaining: size}
	vars = map[string]string{}
	for count := 0; h.remaining > 0; count++ {
		if count == maxVars {
			return nil, fmt.Errorf("%w: over %d variables", errOversized, maxVars)
		}
		if err := h.readVar(vars); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	return vars, nil
}

// readVar reads one variable and keeps it if it has a meaning.
func (h *headReader) readVar(vars map[string]string) error {
	size, err := h.readLength()
	if err != nil {
		return err
	}
	if size == 0 {
		return fmt.Errorf("%w: empty name of a variable", errMalformed)
	}
	name, err := h.readString(size, maxKeptNameBytes)
	if err != nil {
		return err
	}
	if size, err = h.readLength(); err != nil {
		return err
	}
	if !keptVars[name] {
		_, err = h.readString(size, 0)
		return err
	}
	value, err := h.readString(size, maxValueBytes)
	if err != nil {
		return err
	}
	if name == varRequestURI { // a long query has no meaning here
		value, _, _ = strings.Cut(value, "?")
	}
	if len(value) == maxValueBytes && size > maxValueBytes {
		return fmt.Errorf("%w: %s has %d bytes", errOversized, name, size)
	}
	if h.keptBytes += len(value); h.keptBytes > maxKeptBytes {
		return fmt.Errorf("%w: variables of over %d bytes", errOversized, maxKeptBytes)
	}
	vars[name] = value
	return nil
}

// readLength reads the length of a name or value, which has to lie within the variables.
func (h *headReader) readLength() (int, error) {
	var b [2]byte
	if h.remaining < len(b) {
		return 0, fmt.Errorf("%w: truncated variables", errMalformed)
	}
	if _, err := io.ReadFull(h.r, b[:]); err != nil {
		return 0, err
	}
	h.remaining -= len(b)
	size := int(binary.LittleEndian.Uint16(b[:]))
	if size > h.remaining {
		return 0, fmt.Errorf("%w: truncated variable", errMalformed)
	}
	return size, nil
}

// readString reads a string of size bytes and returns at most its first kept bytes.
func (h *headReader) readString(size, kept int) (string, error) {
	h.remaining -= size
	b := make([]byte, min(size, kept))
	if _, err := io.ReadFull(h.r, b); err != nil {
		return "", err
	}
	_, err := h.r.Discard(size - len(b))
	return string(b), err
}

// bodyLength returns the length of the body that the variables state.
func bodyLength(vars map[string]string, maxBodyBytes int) (int, error) {
	text := vars[varContentLength]
	if text == "" {
		return 0, nil
	}
	length, err := strconv.Atoi(text)
	if err != nil || length < 0 {
		return 0, fmt.Errorf("%w: %s is not a valid length", errMalformed, varContentLength)
	}
	if length > maxBodyBytes {
		return 0, fmt.Errorf("%w: a body of %d bytes", errOversized, length)
	}
	return length, nil
}

// readPacket reads the packet of a connection. It returns io.EOF if the connection ends before the first byte of the packet.
func (f *Front) readPacket(conn *gatewayConn) (*packet, error) {
	r := bufio.NewReaderSize(conn, readBufferBytes)
	vars, err := readHead(r)
	if err != nil {
		return nil, err
	}
	length, err := bodyLength(vars, f.settings.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if length > f.memoryBytes()/2 {
		return nil, fmt.Errorf("%w: a body of %d bytes does not fit into the memory", errOversized, length)
	}
	body, err := f.readBody(conn, r, length)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return &packet{vars, body}, nil
}

// readBody reads a body into a buffer that grows as the bytes arrive, so that a length that is only announced takes no memory.
func (f *Front) readBody(conn *gatewayConn, r io.Reader, length int) ([]byte, error) {
	if err := f.reserveBody(conn, min(length, pool.Size)); err != nil {
		return nil, err
	}
	body := pool.Get(min(length, pool.Size))
	read, err := io.ReadFull(r, body)
	for err == nil && read < length {
		next := min(2*len(body), length)
		if err = f.reserveBody(conn, next); err != nil {
			break
		}
		grown := make([]byte, next)
		copy(grown, body)
		pool.Put(body)
		f.releaseBody(conn, len(body))
		body = grown
		var n int
		n, err = io.ReadFull(r, body[read:])
		read += n
	}
	if err != nil {
		pool.Put(body)
		return nil, err
	}
	return body, nil
}
