package teardown

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRun(t *testing.T) {
	var ran []string
	var l List
	l.Add(func() { ran = append(ran, "socket") })
	l.Add(func() { ran = append(ran, "server") })
	l.Run()
	l.Run()
	assert.DeepEqual(t, ran, []string{"server", "socket"})
}
