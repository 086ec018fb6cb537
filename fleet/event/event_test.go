package event

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var catalogueLine = regexp.MustCompile(`(?m)^\| (\d{4}) \| (\w+) \|`)

func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	assert.NilError(t, err)
	listed := make(map[string]string)
	for _, m := range catalogueLine.FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = m[2]
	}
	named := make(map[string]string)
	for id, name := range Names {
		named[fmt.Sprint(int(id))] = name
	}
	assert.DeepEqual(t, listed, named)
}
