package config

import (
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"puffinsaddle/policy"
)

// Fields reads the members of one JSON object and keeps the first error.
type Fields struct {
	Value *fastjson.Value
	Name  string // name of the object in error messages
	Err   error  // the first error
}

// Fail records an error about a member, unless there is one already.
func (f *Fields) Fail(key, problem string) {
	if f.Err == nil {
		f.Err = fmt.Errorf("%s: %q %s", f.Name, key, problem)
	}
}

// Get returns a member, or nil if it is absent or null.
func (f *Fields) Get(key string) *fastjson.Value {
	v := f.Value.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

// Require records an error if the member is absent or null.
func (f *Fields) Require(key string) {
	if f.Get(key) == nil {
		f.Fail(key, "is missing")
	}
}

// Integer returns a whole number, or 0 if the member is absent.
func (f *Fields) Integer(key string) int64 {
	v := f.Get(key)
	if v == nil {
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		f.Fail(key, "is not a whole number")
	}
	return n
}

// Number returns a finite number, or 0 if the member is absent.
func (f *Fields) Number(key string) float64 {
	v := f.Get(key)
	if v == nil {
		return 0
	}
	n, err := v.Float64()
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.Fail(key, "is not a number")
	}
	return n
}

// Duration returns a duration that is given in nanoseconds, or 0 if the member is absent.
func (f *Fields) Duration(key string) time.Duration { return time.Duration(f.Integer(key)) }

// Text returns a string, or "" if the member is absent or is the number 0.
func (f *Fields) Text(key string) string {
	v := f.Get(key)
	if v == nil {
		return ""
	}
	if n, err := v.Int64(); err == nil && n == 0 {
		return ""
	}
	b, err := v.StringBytes()
	if err != nil {
		f.Fail(key, "is not text")
	}
	return string(b)
}

// Bool returns a boolean, or false if the member is absent.
func (f *Fields) Bool(key string) bool {
	v := f.Get(key)
	if v == nil {
		return false
	}
	b, err := v.Bool()
	if err != nil {
		f.Fail(key, "is not true or false")
	}
	return b
}

// ID returns a request id, or 0 if the member is absent.
func (f *Fields) ID(key string) policy.ID {
	n := f.Integer(key)
	if n < 0 || n > math.MaxUint32 {
		f.Fail(key, "is not a request id")
	}
	return policy.ID(n)
}

// List returns the items of an array, or nil if the member is absent.
func (f *Fields) List(key string) []*fastjson.Value {
	v := f.Get(key)
	if v == nil {
		return nil
	}
	a, err := v.Array()
	if err != nil {
		f.Fail(key, "is not an array")
	}
	return a
}

// Object returns the Fields of a nested object, which must be present.
func (f *Fields) Object(key string) *Fields {
	v := f.Get(key)
	if v == nil {
		f.Fail(key, "is missing")
		v = fastjson.MustParse("{}")
	} else if v.Type() != fastjson.TypeObject {
		f.Fail(key, "is not an object")
	}
	return &Fields{Value: v, Name: f.Name + "." + key}
}

// Seed returns 64 bits from a whole number of either sign, or 0 if the member is absent.
func (f *Fields) Seed(key string) uint64 {
	v := f.Get(key)
	if v == nil {
		return 0
	}
	if n, err := v.Uint64(); err == nil {
		return n
	}
	return uint64(f.Integer(key))
}
