package configfile

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// schemaNode holds the keywords of a JSON Schema that define fields.
type schemaNode struct {
	Properties map[string]schemaNode `json:"properties"`
	Items      *schemaNode           `json:"items"`
	Defs       map[string]schemaNode `json:"$defs"`
}

func fieldsOf(v any) (names []string) {
	t := reflect.TypeOf(v)
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func propertiesOf(n schemaNode) (names []string) {
	for name := range n.Properties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestSchemaNamesAllFields guards against a field that exists only in the schema
// or only in the Go types.
func TestSchemaNamesAllFields(t *testing.T) {
	var root schemaNode
	assert.NilError(t, json.Unmarshal(Schema, &root))
	service := root.Defs["service"]
	request := service.Properties["request"]
	tests := []struct {
		node  schemaNode
		value any
	}{
		{root, config.File{}},
		{root.Defs["domain"], config.Domain{}},
		{service, config.Service{}},
		{root.Defs["upstream"], config.Upstream{}},
		{service.Properties["warmUp"], config.WarmUp{}},
		{request, config.Request{}},
		{*request.Properties["owners"].Items, config.OwnerRange{}},
	}
	for _, test := range tests {
		assert.DeepEqual(t, propertiesOf(test.node), fieldsOf(test.value))
	}
}
