// Package codec configures CBOR (RFC 8949) for the messages that routers exchange and store: encoding is deterministic,
// and decoding is strict and bounded. The packages that own a message define its structure.
package codec

import "github.com/fxamacker/cbor/v2"

var encoding = must(cbor.CoreDetEncOptions().EncMode())

// must returns a mode and panics on an error. The options are constants, so an error is a bug that shows on every run.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode encodes a value with CBOR's core deterministic encoding, so that equal values give equal bytes. It panics if
// the value's type can't be encoded, which is a bug that shows at the first use.
func Encode(v any) []byte {
	raw, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// StrictDecoder returns a decoder for untrusted input. It limits the levels of nesting, the elements of an array and
// the pairs of a map, and rejects items of indefinite length, tags and duplicate keys. Without these limits a few bytes
// could make the decoder allocate any amount of memory.
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
