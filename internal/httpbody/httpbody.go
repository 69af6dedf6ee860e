// Package httpbody reads bodies of HTTP responses whose end is certain.
package httpbody

import (
	"errors"
	"io"
	"net/http"

	"puffinsaddle/internal/pool"
)

var (
	// ErrNoLength is the error of a body that ends with its connection: one that was cut short would look the same.
	ErrNoLength = errors.New("body has neither a length nor the chunked encoding, so it may be incomplete")
	// ErrTooLong is the error of a body that is longer than permitted.
	ErrTooLong = errors.New("body is too long")
)

// Read returns a body of at most maxBytes in a buffer from the pool. It does not close the body, since this would read a body of
// any length to its end.
func Read(resp *http.Response, maxBytes int) ([]byte, error) {
	length := resp.ContentLength
	switch {
	case length > int64(maxBytes):
		return nil, ErrTooLong
	case length >= 0:
		return readLength(resp.Body, int(length))
	case len(resp.TransferEncoding) == 0:
		return nil, ErrNoLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBytes {
		return nil, ErrTooLong
	}
	return pool.Copy(body), nil
}

// readLength reads a body of a given length.
func readLength(r io.Reader, length int) ([]byte, error) {
	body := pool.Get(length)
	if _, err := io.ReadFull(r, body); err != nil {
		pool.Put(body)
		return nil, err
	}
	return body, nil
}
