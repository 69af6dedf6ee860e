// Package records holds configuration as keyed records with a revision: what a change may be, which changes are agreed on
// after one another, and what a process that follows them holds. It is free of I/O and of time.
//
// A Set is the agreed state: the records, the revision, and the latest commits within bounds. A Table holds records alone,
// packed, since an order server has to hold hundreds of thousands. A snapshot is a Table in compressed pieces, each with a
// checksum. docs/distribution.md has the argument.
package records

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Kind is what a record is about.
type Kind uint8

// The kinds of records.
const (
	Route   Kind = 1 // where the requests of a service go
	Tenant  Kind = 2 // what a tenant may use
	Setting Kind = 3 // a setting of the order servers, such as the file operator.yaml
)

var kindNames = map[Kind]string{Route: "route", Tenant: "tenant", Setting: "setting"}

// Bounds of records and changes.
const (
	MaxNameBytes    = 128       // bytes of a key's name
	MaxRouteBytes   = 4 << 10   // bytes of a route
	MaxTenantBytes  = 1 << 10   // bytes of a tenant
	MaxSettingBytes = 64 << 10  // bytes of a setting
	MaxChangeKeys   = 1024      // keys of one change
	MaxChangeBytes  = 128 << 10 // bytes of all names and values of one change
)

// Errors for which a change is refused. A refusal is final: the same change against the same revision is refused again.
var (
	ErrUnknownKind    = errors.New("unknown kind of record")
	ErrInvalidName    = errors.New("a name must have 1 to 128 printable characters without spaces")
	ErrTooLarge       = errors.New("too large")
	ErrDuplicateKey   = errors.New("key stands twice in the change")
	ErrConflict       = errors.New("changed since the revision that the change rests on")
	ErrEmptyChange    = errors.New("a change without keys")
	ErrRejected       = errors.New("rejected by the check")
	ErrCompacted      = errors.New("the revision is compacted")
	ErrFutureRevision = errors.New("the revision is ahead of what is agreed on")
)

// String is the kind's name.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name. An unknown one is kept as 0, which every check refuses by its key.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = 0
	for kind, name := range kindNames {
		if name == string(text) {
			*k = kind
		}
	}
	return nil
}

// MaxValueBytes is the most bytes that a value of the kind may have; 0 for an unknown kind.
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

// Key names one record.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String is the key as operators write it.
func (k Key) String() string { return k.Kind.String() + "/" + k.Name }

// Record is one record with the revision that last changed it.
type Record struct {
	Key
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Put sets one record.
type Put struct {
	Key
	Value []byte `json:"value"`
}

// Change is what somebody wants changed, whole or not at all.
type Change struct {
	// Base is the revision that the change rests on: it is refused where one of its keys was changed since. 0: it rests on
	// none.
	Base    uint64 `json:"base,omitempty"`
	Puts    []Put  `json:"puts,omitempty"`
	Deletes []Key  `json:"deletes,omitempty"`
}

// Commit is a change that was agreed on.
type Commit struct {
	Revision uint64 `json:"revision"` // one more than that of the commit before
	Before   Digest `json:"before"`   // of all records before the commit
	After    Digest `json:"after"`    // and after it
	Puts     []Put  `json:"puts,omitempty"`
	Deletes  []Key  `json:"deletes,omitempty"`
}

// Size is about what the commit takes in memory, in bytes.
func (c Commit) Size() int {
	const perKey, perCommit = 48, 96
	n := perCommit
	for _, p := range c.Puts {
		n += perKey + len(p.Name) + len(p.Value)
	}
	for _, k := range c.Deletes {
		n += perKey + len(k.Name)
	}
	return n
}

// Refusal is the error of a change that was refused: nothing of it was carried out.
type Refusal struct {
	Key    Key // the first key at fault; the zero key: the change as a whole
	Reason error
}

// Error names the key and the reason.
func (r *Refusal) Error() string {
	if r.Key == (Key{}) {
		return "records: change refused: " + r.Reason.Error()
	}
	return fmt.Sprintf("records: change refused: %s: %v", r.Key, r.Reason)
}

// Unwrap is the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

// Check refuses a change whose form is wrong. What a value means is not looked at here.
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

// Check tells whether a commit that came from elsewhere has the form of one.
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

// RouteValue is the value of a route, as JSON.
type RouteValue struct {
	Service string   `json:"service"`
	Class   string   `json:"class"`
	Group   string   `json:"group"`             // of the inventory
	Weight  float64  `json:"weight"`            // above 0
	Regions []string `json:"regions,omitempty"` // where it holds; none: everywhere
}

// TenantValue is the value of a tenant, as JSON.
type TenantValue struct {
	Share             float64 `json:"share"` // of the whole, from 0 to 1
	RequestsPerSecond float64 `json:"limit"` // requests a second, above 0
}

// CheckValue refuses a route or a tenant whose value makes no sense. Settings are checked by those who use them.
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
