package configfile

import (
	"bytes"
	_ "embed" // The schema is embedded.
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/amaranthswitch/amaranthswitch/fleet/config"
)

// MaxFileBytes is the size limit of a file, in bytes, that the platform's store
// imposes.
const MaxFileBytes = 1 << 20

// Schema is the JSON Schema of a file.
//
//go:embed schema.json
var Schema []byte

// Problem is a validation error of a file.
type Problem struct {
	// Path is the JSONPath of the field; "$" is the whole file.
	Path string `json:"path"`
	// Line is the line of the field, counted from 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// Problems lists the validation errors of a file.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = fmt.Sprintf("config: line %d: %s: %s", p[i].Line, p[i].Path, p[i].Reason)
	}
	return strings.Join(lines, "\n")
}

var compileSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("config.json", doc); err != nil {
		panic(fmt.Sprintf("config: embedded schema: %v", err))
	}
	return c.MustCompile("config.json")
})

// Parse decodes and validates a file. If the file is invalid, the error is of
// type Problems.
func Parse(data []byte) (f *config.File, err error) {
	if len(data) > MaxFileBytes {
		reason := fmt.Sprintf("file has %d bytes, the platform holds %d at most", len(data), MaxFileBytes)
		return nil, Problems{{Path: "$", Line: 1, Reason: reason}}
	}
	fields := indexFields(data)
	if len(fields.problems) > 0 {
		return nil, fields.problems
	}
	f, problems := decode(data, fields)
	if len(problems) > 0 {
		for i := range problems {
			problems[i].Line = max(problems[i].Line, fields.line(problems[i].Path))
		}
		return nil, problems
	}
	return f, nil
}

// decode decodes and validates a file whose fields are indexed without problems.
func decode(data []byte, fields *fieldIndex) (f *config.File, problems Problems) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, Problems{syntaxProblem(data, err)}
	}
	if err := compileSchema().Validate(doc); err != nil {
		return nil, schemaProblems(err)
	}
	f = &config.File{}
	if err := json.Unmarshal(data, f); err != nil {
		return nil, Problems{{Path: "$", Reason: err.Error()}}
	}
	return f, validate(f, fields)
}

// syntaxProblem converts a JSON decoding error.
func syntaxProblem(data []byte, err error) Problem {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return Problem{Path: "$", Line: 1, Reason: err.Error()}
	}
	return Problem{Path: "$", Line: lineAt(data, se.Offset), Reason: err.Error()}
}

// schemaProblems converts the leaf causes of a schema validation error, ordered
// by path.
func schemaProblems(err error) (p Problems) {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return Problems{{Path: "$", Reason: err.Error()}}
	}
	printer := message.NewPrinter(language.English)
	var visit func(e *jsonschema.ValidationError)
	visit = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			p = append(p, Problem{Path: fieldPath(e.InstanceLocation), Reason: e.ErrorKind.LocalizedString(printer)})
		}
		for _, c := range e.Causes {
			visit(c)
		}
	}
	visit(ve)
	sort.Slice(p, func(i, j int) bool { return p[i].Path < p[j].Path })
	return p
}

// fieldPath returns the JSONPath of a location in the document.
func fieldPath(location []string) string {
	path := "$"
	for _, part := range location {
		if part != "" && strings.Trim(part, "0123456789") == "" {
			path += "[" + part + "]"
			continue
		}
		path += "." + part
	}
	return path
}
