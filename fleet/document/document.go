package document

import (
	"errors"
	"fmt"
	"io"

	"sigs.k8s.io/json"
)

// Decode decodes data into v, which must be a pointer, and ignores unknown fields. It
// returns an error if data is not JSON, a value does not fit the type of its field, or a
// field occurs twice.
func Decode(data []byte, v any) error {
	return decode(data, v, json.DisallowDuplicateFields)
}

// DecodeKnown does so, and returns an error if data holds an unknown field.
func DecodeKnown(data []byte, v any) error {
	return decode(data, v, json.DisallowDuplicateFields, json.DisallowUnknownFields)
}

// DecodeFrom decodes the document that r holds, which may have at most limit bytes, as
// Decode does.
func DecodeFrom(r io.Reader, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("document: longer than %d bytes", limit)
	}
	return Decode(data, v)
}

func decode(data []byte, v any, strict ...json.StrictOption) error {
	problems, err := json.UnmarshalStrict(data, v, strict...)
	if err != nil {
		return err
	}
	return errors.Join(problems...)
}
