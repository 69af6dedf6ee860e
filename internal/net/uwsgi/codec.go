// Package uwsgi speaks the uwsgi protocol on both sides: a front that takes requests from gateways, and a
// runner that sends requests on to uwsgi servers. A packet is a header of four bytes (modifier1, the size of
// the variables as a little-endian u16, modifier2), the variables, and a body of CONTENT_LENGTH bytes; the
// answer is an HTTP response, after which the connection ends.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"

	"puffinsaddle/internal/pool"
)

// The variables that tell what a request is. A gateway sets them itself; it must not take them from its
// callers' headers. All but the class may be absent.
const (
	varClass          = "ORDER_CLASS" // else the path names it: /book-delivery
	varID             = "ORDER_ID"    // 16 hex digits; else one is drawn
	varArrival        = "ORDER_AT"    // when it reached the machine, in Unix milliseconds; else now
	varWait           = "ORDER_WAIT"  // how long the caller waits from then, in milliseconds; else the class's deadline
	varCaller         = "ORDER_FROM"  // the number of the caller
	varRetry          = "ORDER_RETRY" // 1: a further try
	varKey            = "ORDER_KEY"   // what a read is about
	varKB             = "ORDER_KB"    // memory booked while it is held
	varRank           = "ORDER_RANK"
	varIdempotencyKey = "ORDER_ONCE"   // in keyed classes: the same for all tries of one request
	varTenant         = "ORDER_TENANT" // the tenant
	varCost           = "ORDER_COST"   // the work to expect, in milliseconds on one core
)

// maxVarsBytes is the largest size that the header can tell.
const maxVarsBytes = 1<<16 - 1

var (
	errMalformed = errors.New("malformed packet")
	errOversized = errors.New("packet too large")
)

// packet is one request as it stands on the wire.
type packet struct {
	vars map[string]string
	body []byte // from the pool
}

// readPacket reads one packet whose body has at most so many bytes.
func readPacket(r io.Reader, maxBodyBytes int) (*packet, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	if header[0] != 0 || header[3] != 0 {
		return nil, fmt.Errorf("%w: modifiers %d and %d are not for requests", errMalformed, header[0], header[3])
	}
	block := make([]byte, binary.LittleEndian.Uint16(header[1:3]))
	if _, err := io.ReadFull(r, block); err != nil {
		return nil, unexpectedEOF(err)
	}
	vars, err := parseVars(block)
	if err != nil {
		return nil, err
	}
	length := 0
	if s := vars["CONTENT_LENGTH"]; s != "" {
		if length, err = strconv.Atoi(s); err != nil || length < 0 {
			return nil, fmt.Errorf("%w: CONTENT_LENGTH is not a length", errMalformed)
		}
	}
	if length > maxBodyBytes {
		return nil, fmt.Errorf("%w: a body of %d bytes", errOversized, length)
	}
	body := pool.Get(length)
	if _, err := io.ReadFull(r, body); err != nil {
		pool.Put(body)
		return nil, unexpectedEOF(err)
	}
	return &packet{vars, body}, nil
}

// ReadPacket reads one request as a server does: its variables and its body.
func ReadPacket(r io.Reader, maxBodyBytes int) (map[string]string, []byte, error) {
	p, err := readPacket(r, maxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	return p.vars, p.body, nil
}

// unexpectedEOF tells an end within a packet from one before it.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func parseVars(b []byte) (map[string]string, error) {
	vars := map[string]string{}
	readString := func() (string, bool) {
		if len(b) < 2 {
			return "", false
		}
		n := int(binary.LittleEndian.Uint16(b))
		if len(b) < 2+n {
			return "", false
		}
		s := string(b[2 : 2+n])
		b = b[2+n:]
		return s, true
	}
	for len(b) > 0 {
		k, ok := readString()
		if !ok || k == "" {
			return nil, fmt.Errorf("%w: a variable's name", errMalformed)
		}
		v, ok := readString()
		if !ok {
			return nil, fmt.Errorf("%w: the value of %q", errMalformed, k)
		}
		vars[k] = v
	}
	return vars, nil
}

// AppendPacket writes a packet without its body; the variables go in order of their names.
func AppendPacket(b []byte, vars map[string]string) ([]byte, error) {
	names := make([]string, 0, len(vars))
	size := 0
	for k, v := range vars {
		names = append(names, k)
		size += 4 + len(k) + len(v)
	}
	if size > maxVarsBytes {
		return b, fmt.Errorf("%w: variables of %d bytes", errOversized, size)
	}
	sort.Strings(names)
	b = append(b, 0)
	b = binary.LittleEndian.AppendUint16(b, uint16(size))
	b = append(b, 0)
	for _, k := range names {
		for _, s := range []string{k, vars[k]} {
			b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
			b = append(b, s...)
		}
	}
	return b, nil
}
