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

// MaxFileBytes is the largest file the platform holds.
const MaxFileBytes = 1 << 20

// Schema is the JSON Schema of a file.
//
//go:embed schema.json
var Schema []byte

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Path names the field, "$" for the whole file.
	Path string `json:"path"`
	// Line is where the field is in the file, counted from 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// Problems lists all that is wrong with a file, ordered by path.
type Problems []Problem

// Error joins all problems, one a line.
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

// Parse decodes and validates a whole file. A file that is not acceptable
// gives Problems as its error.
func Parse(data []byte) (f *config.File, err error) {
	if len(data) > MaxFileBytes {
		reason := fmt.Sprintf("file has %d bytes, the platform holds %d at most", len(data), MaxFileBytes)
		return nil, Problems{{Path: "$", Line: 1, Reason: reason}}
	}
	places := locate(data)
	if len(places.twice) > 0 {
		return nil, places.twice
	}
	f, problems := decode(data, places)
	if len(problems) > 0 {
		for i := range problems {
			problems[i].Line = max(problems[i].Line, places.line(problems[i].Path))
		}
		return nil, problems
	}
	return f, nil
}

// decode decodes and validates a file in which no field occurs twice.
func decode(data []byte, places *places) (f *config.File, problems Problems) {
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
	return f, validate(f, places)
}

func syntaxProblem(data []byte, err error) Problem {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return Problem{Path: "$", Line: 1, Reason: err.Error()}
	}
	return Problem{Path: "$", Line: lineAt(data, se.Offset), Reason: err.Error()}
}

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
