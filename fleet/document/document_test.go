package document

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type route struct {
	Name   string          `json:"name"`
	Weight *int            `json:"weight"`
	Peers  []route         `json:"peers"`
	ByName map[string]bool `json:"byName"`
}

// TestDecode guards against fields whose names are spelled otherwise, which encoding/json
// takes for the field, and against fields that occur twice, of which it takes the last.
func TestDecode(t *testing.T) {
	tests := []struct{ name, text, wantName, wantErr string }{
		{"exact", `{"name":"a","weight":1}`, "a", ""},
		{"another case", `{"Name":"a","NAME":"b"}`, "", ""},
		{"letters that fold to ASCII", `{"weiſht":1,"byName":{}}`, "", ""},
		{"another case before the field", `{"Name":"b","name":"a"}`, "a", ""},
		{"another case after the field", `{"name":"a","Name":"b"}`, "a", ""},
		{"twice", `{"name":"a","name":"a"}`, "a", `duplicate field "name"`},
		{"twice in an array", `{"peers":[{"name":"a"},{"name":"a","name":"b"}]}`, "", `duplicate field "peers[1].name"`},
		{"twice in a map", `{"byName":{"x":true,"x":false}}`, "", `duplicate field "byName.x"`},
		{"once in each of two objects", `{"peers":[{"name":"a"},{"name":"a"}]}`, "", ""},
		{"unknown", `{"name":"a","note":[1]}`, "a", ""},
		{"another type", `{"name":7}`, "", "cannot unmarshal number"},
		{"two documents", `{"name":"a"}{"name":"b"}`, "", "after top-level value"},
		{"cut off", `{"name":"a"`, "", "unexpected end"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r route
			err := Decode([]byte(test.text), &r)
			if test.wantErr != "" {
				assert.ErrorContains(t, err, test.wantErr)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, r.Name, test.wantName)
		})
	}
}

func TestDecodeKnown(t *testing.T) {
	var r route
	assert.NilError(t, DecodeKnown([]byte(`{"name":"a"}`), &r))
	assert.ErrorContains(t, DecodeKnown([]byte(`{"name":"a","note":1}`), &r), `unknown field "note"`)
	assert.ErrorContains(t, DecodeKnown([]byte(`{"Name":"a"}`), &r), `unknown field "Name"`)
	assert.ErrorContains(t, DecodeKnown([]byte(`{"name":"a","name":"a"}`), &r), `duplicate field "name"`)
}

func TestDecodeFrom(t *testing.T) {
	const text = `{"name":"a"}`
	var r route
	assert.NilError(t, DecodeFrom(strings.NewReader(text), int64(len(text)), &r))
	assert.Equal(t, r.Name, "a")
	assert.ErrorContains(t, DecodeFrom(strings.NewReader(text), int64(len(text))-1, &r), "longer than 11 bytes")
}

// report is encoded as a map with text keys, numbered one with integer keys.
type report struct {
	From string `cbor:"from"`
}

type numbered struct {
	From string `cbor:"1,keyasint"`
}

// TestDecodeCBOR guards against the same in CBOR, whose decoder matches names regardless of
// case and takes the last of two equal keys unless it is told otherwise.
func TestDecodeCBOR(t *testing.T) {
	// A map is a byte 0xa0 plus the number of pairs, a text 0x60 plus its length.
	tests := []struct{ name, data, want, wantErr string }{
		{"exact", "\xa1\x64from\x61a", "a", ""},
		{"another case", "\xa1\x64From\x61a", "", ""},
		{"another case after the field", "\xa2\x64from\x61a\x64FROM\x61b", "a", ""},
		{"twice", "\xa2\x64from\x61a\x64from\x61b", "", "duplicate"},
		{"cut off", "\xa1\x64fr", "", "unexpected EOF"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r report
			err := DecodeCBOR([]byte(test.data), &r)
			if test.wantErr != "" {
				assert.ErrorContains(t, err, test.wantErr)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, r.From, test.want)
		})
	}
	var n numbered
	assert.ErrorContains(t, DecodeCBOR([]byte("\xa2\x01\x61a\x01\x61b"), &n), "duplicate")
}
