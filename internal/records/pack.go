package records

import "encoding/binary"

const digestBytes = 16 // encoded size of a Digest, in bytes

// AppendCommit appends the packed form of a commit to b: the revision, both digests, the number of puts and each put, the number
// of deletes and each deleted key. Numbers are unsigned varints; names and values are prefixed with their length.
func AppendCommit(b []byte, c Commit) []byte {
	b = binary.AppendUvarint(b, c.Revision)
	b = appendDigest(b, c.Before)
	b = appendDigest(b, c.After)
	b = binary.AppendUvarint(b, uint64(len(c.Puts)))
	for _, p := range c.Puts {
		b = appendKey(b, p.Key)
		b = binary.AppendUvarint(b, uint64(len(p.Value)))
		b = append(b, p.Value...)
	}
	b = binary.AppendUvarint(b, uint64(len(c.Deletes)))
	for _, k := range c.Deletes {
		b = appendKey(b, k)
	}
	return b
}

func appendDigest(b []byte, d Digest) []byte {
	b = binary.BigEndian.AppendUint64(b, d.hi)
	return binary.BigEndian.AppendUint64(b, d.lo)
}

func appendKey(b []byte, k Key) []byte {
	b = append(b, byte(k.Kind))
	b = binary.AppendUvarint(b, uint64(len(k.Name)))
	return append(b, k.Name...)
}

// ParseCommit decodes a packed commit that takes up all of b; the result does not refer to b. It enforces the bounds of Check on
// counts and lengths; the caller runs Check itself when it applies the commit. Every error is ErrMalformed.
func ParseCommit(b []byte) (Commit, error) {
	p := unpacker{remaining: b}
	c := Commit{Revision: p.uvarint(), Before: p.digest(), After: p.digest()}
	puts := p.count(MaxChangeKeys)
	for range puts {
		k := p.key()
		c.Puts = append(c.Puts, Put{k, []byte(p.text(k.Kind.MaxValueBytes()))})
	}
	deletes := p.count(MaxChangeKeys - puts)
	for range deletes {
		c.Deletes = append(c.Deletes, p.key())
	}
	if p.failed || len(p.remaining) > 0 {
		return Commit{}, ErrMalformed
	}
	return c, nil
}

// unpacker decodes the parts of a packed commit. After the first failure every part is zero.
type unpacker struct {
	remaining []byte
	failed    bool
}

func (p *unpacker) uvarint() uint64 {
	n, width := binary.Uvarint(p.remaining)
	if p.failed || width <= 0 {
		p.failed = true
		return 0
	}
	p.remaining = p.remaining[width:]
	return n
}

func (p *unpacker) count(limit int) int {
	n := p.uvarint()
	if n > uint64(max(limit, 0)) {
		p.failed = true
		return 0
	}
	return int(n)
}

func (p *unpacker) bytes(n int) []byte {
	if p.failed || n > len(p.remaining) {
		p.failed = true
		return nil
	}
	b := p.remaining[:n]
	p.remaining = p.remaining[n:]
	return b
}

func (p *unpacker) text(maxBytes int) string { return string(p.bytes(p.count(maxBytes))) }

func (p *unpacker) digest() (d Digest) {
	if b := p.bytes(digestBytes); b != nil {
		d.hi, d.lo = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[digestBytes/2:])
	}
	return d
}

func (p *unpacker) key() Key {
	kind := p.bytes(1)
	if kind == nil {
		return Key{}
	}
	return Key{Kind(kind[0]), p.text(MaxNameBytes)}
}
