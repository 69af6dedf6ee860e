package records

import (
	"encoding/hex"
	"errors"

	"github.com/zeebo/xxh3"
)

// Digest is the sum of the 128-bit hashes of records. The sum does not depend on the order of the records, and the cost of
// updating it depends only on the size of the change. It detects faults; it does not resist an adversary who constructs records to match.
type Digest struct{ hi, lo uint64 }

// add and remove add one packed record to the sum and subtract it.
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

// Sum64 returns the low 64 bits of the digest, for callers that compare a single number.
func (d Digest) Sum64() uint64 { return d.lo }

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	b, _ := d.MarshalText()
	return string(b)
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	b := make([]byte, 0, 16)
	for _, v := range []uint64{d.hi, d.lo} {
		for shift := 56; shift >= 0; shift -= 8 {
			b = append(b, byte(v>>shift))
		}
	}
	return hex.AppendEncode(nil, b), nil
}

// UnmarshalText decodes a digest from hexadecimal.
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

// Checksum returns the checksum of a snapshot chunk or of a file block.
func Checksum(b []byte) uint64 { return xxh3.Hash(b) }
