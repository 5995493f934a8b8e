// Package codec is CBOR (RFC 8949) as members send and keep it: deterministic on the way out, bounded on the way in.
package codec

import "github.com/fxamacker/cbor/v2"

var encoding = must(cbor.CoreDetEncOptions().EncMode())

func must[M any](mode M, err error) M {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode packs a value of a type that always encodes.
func Encode(v any) []byte {
	raw, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Strict is a decoder for what others send: so many levels, elements of an array and pairs of a map at the most, none
// without a stated length, no tags, no key twice.
func StrictDecoder(levels, elements, pairs int) cbor.DecMode {
	return must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: levels, MaxArrayElements: elements, MaxMapPairs: pairs,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
}
