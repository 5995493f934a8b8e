// Package codec is CBOR (RFC 8949) as instances send and store it: deterministic on the way out, bounded on the way in.
// It carries bytes; the packages that own a message decide its form.
package codec

import "github.com/fxamacker/cbor/v2"

var encoding = must(cbor.CoreDetEncOptions().EncMode())

// must returns a mode whose options are constants, so that they are right or nothing works.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a value in the core deterministic form: equal values give equal bytes. It panics if the value's type can't
// be encoded, which is a fault of the program and shows at the first use.
func Encode(v any) []byte {
	raw, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// StrictDecoder returns a decoder for what others send: at most so many levels of nesting, elements of an array and pairs of
// a map, no item without a stated length, no tags, no key twice. Without it a few bytes could ask for any amount of memory.
func StrictDecoder(levels, elements, pairs int) cbor.DecMode {
	return must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  levels,
		MaxArrayElements: elements,
		MaxMapPairs:      pairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
}
