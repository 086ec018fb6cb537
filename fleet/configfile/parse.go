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
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Problems lists all that is wrong with a file, ordered by path.
type Problems []Problem

// Error joins all problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = fmt.Sprintf("config: %s: %s", p[i].Path, p[i].Reason)
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
		return nil, Problems{{Path: "$", Reason: reason}}
	}
	if problems := checkDuplicateKeys(data); len(problems) > 0 {
		return nil, problems
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, Problems{{Path: "$", Reason: syntaxReason(data, err)}}
	}
	if err := compileSchema().Validate(doc); err != nil {
		return nil, schemaProblems(err)
	}
	f = &config.File{}
	if err := json.Unmarshal(data, f); err != nil {
		return nil, Problems{{Path: "$", Reason: err.Error()}}
	}
	if problems := validate(f); len(problems) > 0 {
		return nil, problems
	}
	return f, nil
}

func syntaxReason(data []byte, err error) string {
	var se *json.SyntaxError
	if !errors.As(err, &se) {
		return err.Error()
	}
	line := 1 + bytes.Count(data[:min(int(se.Offset), len(data))], []byte("\n"))
	return fmt.Sprintf("line %d: %v", line, err)
}

// checkDuplicateKeys reports object keys that occur twice, which the decoder
// would silently merge.
func checkDuplicateKeys(data []byte) (p Problems) {
	dec := json.NewDecoder(bytes.NewReader(data))
	walkValue(dec, "$", &p)
	return p
}

func walkValue(dec *json.Decoder, path string, p *Problems) bool {
	tok, err := dec.Token()
	if err != nil {
		return false
	}
	switch tok {
	case json.Delim('{'):
		return walkObject(dec, path, p)
	case json.Delim('['):
		return walkArray(dec, path, p)
	}
	return true
}

func walkObject(dec *json.Decoder, path string, p *Problems) bool {
	seen := make(map[string]bool)
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return false
		}
		key, _ := tok.(string)
		if seen[key] {
			*p = append(*p, Problem{Path: path + "." + key, Reason: "field occurs twice"})
		}
		seen[key] = true
		if !walkValue(dec, path+"."+key, p) {
			return false
		}
	}
	_, err := dec.Token()
	return err == nil
}

func walkArray(dec *json.Decoder, path string, p *Problems) bool {
	for i := 0; dec.More(); i++ {
		if !walkValue(dec, fmt.Sprintf("%s[%d]", path, i), p) {
			return false
		}
	}
	_, err := dec.Token()
	return err == nil
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
