// Package uwsgi implements both sides of the uwsgi protocol: a front that accepts requests from gateways, and a runner
// that forwards requests to uwsgi servers. A packet is a header of four bytes (modifier1, the size of the variables as a
// little-endian uint16, modifier2), the variables, and a body of CONTENT_LENGTH bytes. The answer is an HTTP response,
// after which the connection is closed.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sort"
)

// The variables that describe a request. The gateway sets them itself and must not copy them from headers of its callers.
// All are optional; without varClass, the last element of the path names the class.
const (
	varClass          = "ORDER_CLASS"  // the class; default: from the path, such as /book-delivery
	varID             = "ORDER_ID"     // 16 hexadecimal digits; default: random
	varArrival        = "ORDER_AT"     // arrival at the machine, in Unix milliseconds; default: now
	varWait           = "ORDER_WAIT"   // how long the caller waits from its arrival, in milliseconds; default: the deadline of the class
	varCaller         = "ORDER_FROM"   // the number of the caller
	varRetry          = "ORDER_RETRY"  // 1: a retry
	varKey            = "ORDER_KEY"    // the subject of a read
	varKB             = "ORDER_KB"     // memory reserved for the request, in KB
	varRank           = "ORDER_RANK"   // the rank, from 0 to below 1
	varIdempotencyKey = "ORDER_ONCE"   // in keyed classes: the idempotency key, the same for all attempts of one request
	varTenant         = "ORDER_TENANT" // the tenant
	varCost           = "ORDER_COST"   // the expected work, in milliseconds on one core
)

// maxVarsBytes is the largest size of the variables that the header can express.
const maxVarsBytes = 1<<16 - 1

var (
	errMalformed = errors.New("malformed packet")
	errOversized = errors.New("packet too large")
)

// packet is one request as it was read from a gateway.
type packet struct {
	vars map[string]string // those that have a meaning
	body []byte            // from the pool
}

// readPacketHeader reads the header of a packet and returns the size of its variables.
func readPacketHeader(r io.Reader) (size int, err error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	if header[0] != 0 || header[3] != 0 {
		return 0, fmt.Errorf("%w: modifiers %d and %d are not those of a request", errMalformed, header[0], header[3])
	}
	return int(binary.LittleEndian.Uint16(header[1:3])), nil
}

// ReadPacket reads one request, as a server does, and returns all its variables and its body of at most maxBodyBytes. It returns
// io.EOF if the connection ends before the first byte of the packet.
func ReadPacket(r io.Reader, maxBodyBytes int) (map[string]string, []byte, error) {
	size, err := readPacketHeader(r)
	if err != nil {
		return nil, nil, err
	}
	block := make([]byte, size)
	if _, err := io.ReadFull(r, block); err != nil {
		return nil, nil, unexpectedEOF(err)
	}
	vars, err := parseVars(block)
	if err != nil {
		return nil, nil, err
	}
	length, err := bodyLength(vars, maxBodyBytes)
	if err != nil {
		return nil, nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, nil, unexpectedEOF(err)
	}
	return vars, body, nil
}

// unexpectedEOF turns io.EOF within a packet into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseVars parses the block of variables of a packet: names and values in turn, each preceded by its length.
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
			return nil, fmt.Errorf("%w: empty or truncated name of a variable", errMalformed)
		}
		v, ok := readString()
		if !ok {
			return nil, fmt.Errorf("%w: truncated value of %q", errMalformed, k)
		}
		vars[k] = v
	}
	return vars, nil
}

// AppendPacket appends a packet without its body to b. The variables are sorted by name.
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
