package document

import "github.com/fxamacker/cbor/v2"

// strictCBOR is the decoding mode of DecodeCBOR.
var strictCBOR = newStrictCBOR()

func newStrictCBOR() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode()
	if err != nil {
		panic("document: " + err.Error()) // the options are constant
	}
	return mode
}

// DecodeCBOR decodes data into v, which must be a pointer, and ignores unknown fields. It
// returns an error if data is not CBOR, a value does not fit the type of its field, or a key
// occurs twice in a map.
func DecodeCBOR(data []byte, v any) error { return strictCBOR.Unmarshal(data, v) }
