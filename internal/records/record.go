// Package records holds configuration as keyed records with a revision. It validates changes, orders them as commits, and keeps
// the state of processes that apply the commits. It does no I/O and reads no clock.
//
// A Set is the replicated state: the records, the revision, and the latest commits within bounds. A Table holds only the records,
// packed, because an order server has to hold hundreds of thousands of them. A snapshot is a Table in compressed chunks, each
// with a checksum. docs/distribution.md explains the design.
package records

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Kind is the type of a record.
type Kind uint8

// The kinds of records.
const (
	Route   Kind = 1 // the destination of a service's requests
	Tenant  Kind = 2 // the limits of a tenant
	Setting Kind = 3 // a setting of the order servers, such as the file operator.yaml
)

var kindNames = map[Kind]string{Route: "route", Tenant: "tenant", Setting: "setting"}

// Bounds of records and changes.
const (
	MaxNameBytes    = 128       // length of a key's name, in bytes
	MaxRouteBytes   = 4 << 10   // size of a route's value, in bytes
	MaxTenantBytes  = 1 << 10   // size of a tenant's value, in bytes
	MaxSettingBytes = 64 << 10  // size of a setting's value, in bytes
	MaxChangeKeys   = 1024      // number of keys in one change
	MaxChangeBytes  = 128 << 10 // total size of the names and values in one change, in bytes
)

// Reasons for refusing a change. A refusal is final: the same change against the same revision is refused again.
var (
	ErrUnknownKind    = errors.New("unknown kind of record")
	ErrInvalidName    = errors.New("a name must have 1 to 128 printable characters without spaces")
	ErrTooLarge       = errors.New("too large")
	ErrDuplicateKey   = errors.New("key stands twice in the change")
	ErrConflict       = errors.New("changed since the revision that the change rests on")
	ErrEmptyChange    = errors.New("a change without keys")
	ErrRejected       = errors.New("rejected by the check")
	ErrCompacted      = errors.New("the revision has been compacted")
	ErrFutureRevision = errors.New("the revision is ahead of what is agreed on")
)

// String returns the name of the kind.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// MarshalText encodes the kind as its name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes the name of a kind. An unknown name becomes 0, which Check refuses together with the key.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = 0
	for kind, name := range kindNames {
		if name == string(text) {
			*k = kind
		}
	}
	return nil
}

// MaxValueBytes returns the maximum size of a value of the kind, in bytes; 0 for an unknown kind.
func (k Kind) MaxValueBytes() int {
	switch k {
	case Route:
		return MaxRouteBytes
	case Tenant:
		return MaxTenantBytes
	case Setting:
		return MaxSettingBytes
	}
	return 0
}

// Key identifies a record.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key in the form that operators use, kind/name.
func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// Record is a record with the revision of its last change.
type Record struct {
	Key
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Put sets the value of one record.
type Put struct {
	Key
	Value []byte `json:"value"`
}

// Change is a requested change of one or more records, applied atomically.
type Change struct {
	// Base is the revision that the change is based on: the change is refused if one of its keys has changed since. 0 disables
	// this check.
	Base    uint64 `json:"base,omitempty"`
	Puts    []Put  `json:"puts,omitempty"`
	Deletes []Key  `json:"deletes,omitempty"`
}

// Commit is a change that the store has committed.
type Commit struct {
	Revision uint64 `json:"revision"` // one more than that of the previous commit
	Before   Digest `json:"before"`   // of all records before the commit
	After    Digest `json:"after"`    // of all records after the commit
	Puts     []Put  `json:"puts,omitempty"`
	Deletes  []Key  `json:"deletes,omitempty"`
}

// Size returns the approximate memory use of the commit, in bytes.
func (c Commit) Size() int {
	const perKey, perCommit = 48, 96 // fixed overheads, in bytes
	n := perCommit
	for _, p := range c.Puts {
		n += perKey + len(p.Name) + len(p.Value)
	}
	for _, k := range c.Deletes {
		n += perKey + len(k.Name)
	}
	return n
}

// Refusal is the error of a refused change, no part of which was applied.
type Refusal struct {
	Key    Key // the first invalid key; the zero Key if the reason concerns the whole change
	Reason error
}

// Error returns the key and the reason.
func (r *Refusal) Error() string {
	if r.Key == (Key{}) {
		return "records: change refused: " + r.Reason.Error()
	}
	return fmt.Sprintf("records: change refused: %s: %v", r.Key, r.Reason)
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

// Check refuses a malformed change. It does not interpret the values; CheckValue does.
func (c Change) Check() error {
	n := len(c.Puts) + len(c.Deletes)
	switch {
	case n == 0:
		return &Refusal{Reason: ErrEmptyChange}
	case n > MaxChangeKeys:
		return &Refusal{Reason: fmt.Errorf("%w: %d keys, %d at most", ErrTooLarge, n, MaxChangeKeys)}
	}
	seen, size := make(map[Key]bool, n), 0
	checkKey := func(k Key) error {
		switch {
		case k.Kind.MaxValueBytes() == 0:
			return &Refusal{k, ErrUnknownKind}
		case !validName(k.Name):
			return &Refusal{k, ErrInvalidName}
		case seen[k]:
			return &Refusal{k, ErrDuplicateKey}
		}
		seen[k] = true
		size += len(k.Name)
		return nil
	}
	for _, p := range c.Puts {
		if err := checkKey(p.Key); err != nil {
			return err
		}
		if len(p.Value) > p.Kind.MaxValueBytes() {
			return &Refusal{p.Key, fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(p.Value), p.Kind.MaxValueBytes())}
		}
		size += len(p.Value)
	}
	for _, k := range c.Deletes {
		if err := checkKey(k); err != nil {
			return err
		}
	}
	if size > MaxChangeBytes {
		return &Refusal{Reason: fmt.Errorf("%w: %d bytes in all, %d at most", ErrTooLarge, size, MaxChangeBytes)}
	}
	return nil
}

// Check reports whether a commit received from another process is well-formed.
func (c Commit) Check() error { return Change{Puts: c.Puts, Deletes: c.Deletes}.Check() }

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}

// RouteValue is the value of a route, encoded as JSON.
type RouteValue struct {
	Service string   `json:"service"`
	Class   string   `json:"class"`
	Group   string   `json:"group"`             // a group of the inventory
	Weight  float64  `json:"weight"`            // above 0
	Regions []string `json:"regions,omitempty"` // the regions in which the route applies; empty: all
}

// TenantValue is the value of a tenant, encoded as JSON.
type TenantValue struct {
	Share             float64 `json:"share"` // fraction of the total, from 0 to 1
	RequestsPerSecond float64 `json:"limit"` // requests per second, above 0
}

// CheckValue refuses a route or a tenant with an invalid value. Settings are validated by the code that uses them.
func CheckValue(p Put) error {
	fail := func(format string, a ...any) error {
		return &Refusal{p.Key, fmt.Errorf("%w: "+format, append([]any{ErrRejected}, a...)...)}
	}
	switch p.Kind {
	case Route:
		var v RouteValue
		if err := json.Unmarshal(p.Value, &v); err != nil {
			return fail("%v", err)
		}
		if v.Service == "" || v.Class == "" || v.Group == "" {
			return fail("service, class and group must be set")
		}
		if !(v.Weight > 0) {
			return fail("weight must be above 0, not %v", v.Weight)
		}
	case Tenant:
		var v TenantValue
		if err := json.Unmarshal(p.Value, &v); err != nil {
			return fail("%v", err)
		}
		if !(v.Share >= 0 && v.Share <= 1) {
			return fail("share must be from 0 to 1, not %v", v.Share)
		}
		if !(v.RequestsPerSecond > 0) {
			return fail("limit must be above 0, not %v", v.RequestsPerSecond)
		}
	}
	return nil
}
