package configfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// fieldIndex maps the path of each field of a file to its line.
type fieldIndex struct {
	data  []byte
	dec   *json.Decoder
	lines map[string]int
	// newlines is the number of newlines before the byte offset countedTo.
	newlines, countedTo int
	// duplicates lists the fields that occur more than once, which encoding/json
	// would silently merge.
	duplicates Problems
}

// indexFields indexes the fields of data up to the first syntax error.
func indexFields(data []byte) *fieldIndex {
	p := &fieldIndex{data: data, dec: json.NewDecoder(bytes.NewReader(data)), lines: make(map[string]int)}
	p.scanValue("$")
	return p
}

// line returns the line of the field at path, or of its nearest indexed
// ancestor.
func (p *fieldIndex) line(path string) int {
	for path != "" {
		if n, ok := p.lines[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// describe returns path followed by its line, for error messages.
func (p *fieldIndex) describe(path string) string {
	return fmt.Sprintf("%s (line %d)", path, p.line(path))
}

// lineAt returns the line, counted from 1, of a byte offset.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// tokenLine returns the line of the last token that the decoder read. It counts
// only the newlines since the previous call.
func (p *fieldIndex) tokenLine() int {
	offset := int(p.dec.InputOffset())
	p.newlines += bytes.Count(p.data[p.countedTo:offset], []byte("\n"))
	p.countedTo = offset
	return 1 + p.newlines
}

// scanValue indexes the value at path. It reports false on a syntax error.
func (p *fieldIndex) scanValue(path string) bool {
	tok, err := p.dec.Token()
	if err != nil {
		return false
	}
	p.lines[path] = p.tokenLine()
	switch tok {
	case json.Delim('{'):
		return p.scanObject(path)
	case json.Delim('['):
		return p.scanArray(path)
	}
	return true
}

func (p *fieldIndex) scanObject(path string) bool {
	seen := make(map[string]bool)
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return false
		}
		key, _ := tok.(string)
		if seen[key] {
			p.duplicates = append(p.duplicates, Problem{Path: path + "." + key, Line: p.tokenLine(), Reason: "field occurs twice"})
		}
		seen[key] = true
		if !p.scanValue(path + "." + key) {
			return false
		}
	}
	_, err := p.dec.Token()
	return err == nil
}

func (p *fieldIndex) scanArray(path string) bool {
	for i := 0; p.dec.More(); i++ {
		if !p.scanValue(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := p.dec.Token()
	return err == nil
}
