package configfile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// places tells on which line of a file each field is.
type places struct {
	data  []byte
	dec   *json.Decoder
	lines map[string]int
	// newlines is the number of line ends before counted, an offset.
	newlines, counted int
	// twice lists the fields that occur twice, which the decoder would silently
	// merge.
	twice Problems
}

// locate walks through a file as far as it is JSON.
func locate(data []byte) *places {
	p := &places{data: data, dec: json.NewDecoder(bytes.NewReader(data)), lines: make(map[string]int)}
	p.value("$")
	return p
}

// line returns the line of the field at path, or of the nearest one around it.
func (p *places) line(path string) int {
	for path != "" {
		if n, ok := p.lines[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// name names the field at path with its line.
func (p *places) name(path string) string { return fmt.Sprintf("%s (line %d)", path, p.line(path)) }

// lineAt returns the line of an offset.
func lineAt(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// here returns the line of the last token.
func (p *places) here() int {
	offset := int(p.dec.InputOffset())
	p.newlines += bytes.Count(p.data[p.counted:offset], []byte("\n"))
	p.counted = offset
	return 1 + p.newlines
}

// value walks through the value at path. It reports false at the end of what is
// JSON.
func (p *places) value(path string) bool {
	tok, err := p.dec.Token()
	if err != nil {
		return false
	}
	p.lines[path] = p.here()
	switch tok {
	case json.Delim('{'):
		return p.object(path)
	case json.Delim('['):
		return p.array(path)
	}
	return true
}

func (p *places) object(path string) bool {
	seen := make(map[string]bool)
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return false
		}
		key, _ := tok.(string)
		if seen[key] {
			p.twice = append(p.twice, Problem{Path: path + "." + key, Line: p.here(), Reason: "field occurs twice"})
		}
		seen[key] = true
		if !p.value(path + "." + key) {
			return false
		}
	}
	_, err := p.dec.Token()
	return err == nil
}

func (p *places) array(path string) bool {
	for i := 0; p.dec.More(); i++ {
		if !p.value(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := p.dec.Token()
	return err == nil
}
