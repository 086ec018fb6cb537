package configfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

const (
	// maxDepth is the number of objects and arrays that may lie within each other. The
	// schema has fewer. The paths of all fields take memory that grows with the square
	// of the depth.
	maxDepth = 32
	// maxNumberBytes is the longest notation of a number. Validation computes exactly,
	// which takes long for a number of many digits.
	maxNumberBytes = 32
)

// fieldIndex maps the path of each field of a file to its line.
type fieldIndex struct {
	data  []byte
	dec   *json.Decoder
	lines map[string]int
	depth int // number of objects and arrays around the current value
	// newlines is the number of newlines before the byte offset countedTo.
	newlines, countedTo int
	// problems lists the fields that occur more than once, which encoding/json would
	// silently merge, and those beyond maxDepth or maxNumberBytes.
	problems Problems
}

// indexFields indexes the fields of data up to the first syntax error or the first
// field beyond the limits.
func indexFields(data []byte) *fieldIndex {
	p := &fieldIndex{data: data, dec: json.NewDecoder(bytes.NewReader(data)), lines: make(map[string]int)}
	p.dec.UseNumber()
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

// scanValue indexes the value at path. It reports false on a syntax error and for a
// value beyond the limits.
func (p *fieldIndex) scanValue(path string) bool {
	tok, err := p.dec.Token()
	if err != nil {
		return false
	}
	p.lines[path] = p.tokenLine()
	switch v := tok.(type) {
	case json.Delim:
		return p.scanCompound(path, v)
	case json.Number:
		if len(v) > maxNumberBytes {
			p.addProblem(path, fmt.Sprintf("number has more than %d characters", maxNumberBytes))
			return false
		}
	}
	return true
}

// scanCompound indexes the object or array at path after its opening delimiter.
func (p *fieldIndex) scanCompound(path string, opening json.Delim) bool {
	if p.depth == maxDepth {
		p.addProblem(path, fmt.Sprintf("field is nested more than %d levels deep", maxDepth))
		return false
	}
	p.depth++
	defer func() { p.depth-- }()
	if opening == '{' {
		return p.scanObject(path)
	}
	return p.scanArray(path)
}

// addProblem records a problem with the field at path, which was just read.
func (p *fieldIndex) addProblem(path, reason string) {
	p.problems = append(p.problems, Problem{Path: path, Line: p.tokenLine(), Reason: reason})
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
			p.addProblem(path+"."+key, "field occurs twice")
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
