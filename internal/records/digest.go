package records

import (
	"encoding/hex"
	"errors"

	"github.com/zeebo/xxh3"
)

// Digest sums the hashes of records, so that it does not depend on their order and follows each change at the cost of that
// change alone. It guards against faults, not against somebody who makes records up to match one.
type Digest struct{ hi, lo uint64 }

// add and remove take one record, in its packed form, into the sum and out of it.
func (d *Digest) add(entry []byte) {
	h := xxh3.Hash128(entry)
	d.hi += h.Hi
	d.lo += h.Lo
}

func (d *Digest) remove(entry []byte) {
	h := xxh3.Hash128(entry)
	d.hi -= h.Hi
	d.lo -= h.Lo
}

func (d *Digest) merge(o Digest) {
	d.hi += o.hi
	d.lo += o.lo
}

// Sum64 is a part of the digest, for those who compare a number.
func (d Digest) Sum64() uint64 { return d.lo }

// String is the digest in hex.
func (d Digest) String() string {
	b, _ := d.MarshalText()
	return string(b)
}

// MarshalText writes the digest in hex.
func (d Digest) MarshalText() ([]byte, error) {
	b := make([]byte, 0, 16)
	for _, v := range []uint64{d.hi, d.lo} {
		for shift := 56; shift >= 0; shift -= 8 {
			b = append(b, byte(v>>shift))
		}
	}
	return hex.AppendEncode(nil, b), nil
}

// UnmarshalText reads a digest.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != 16 {
		return errors.New("records: malformed digest")
	}
	*d = Digest{}
	for i, c := range b {
		if i < 8 {
			d.hi = d.hi<<8 | uint64(c)
		} else {
			d.lo = d.lo<<8 | uint64(c)
		}
	}
	return nil
}

// Checksum is the sum of a piece of a snapshot, or of a block of a file.
func Checksum(b []byte) uint64 { return xxh3.Hash(b) }
