package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runCommand runs amaranthctl with the given standard input and arguments.
func runCommand(t *testing.T, input string, args ...string) (output string, err error) {
	t.Helper()
	var out bytes.Buffer
	c := command()
	c.Writer, c.ErrWriter, c.Reader = &out, &out, strings.NewReader(input)
	err = c.Run(context.Background(), append([]string{"amaranthctl"}, args...))
	return out.String(), err
}

// file writes the workshop example to a temporary file, with the first occurrence
// of old replaced.
func file(t *testing.T, old, replacement string) (path string) {
	t.Helper()
	data, err := os.ReadFile("../examples/workshop.json")
	assert.NilError(t, err)
	assert.Assert(t, old == "" || strings.Contains(string(data), old))
	path = filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600))
	return path
}

func TestCheck(t *testing.T) {
	path := file(t, "", "")
	out, err := runCommand(t, "", "check", path)
	assert.NilError(t, err)
	assert.Equal(t, out, path+": version 1 is valid: 3 failure domains, 2 services, 18 upstreams\n")

	path = file(t, `"10.64.2.24:6081"`, `"10.64.2.10:6081"`)
	out, err = runCommand(t, "", "check", path)
	assert.ErrorIs(t, err, errInvalid)
	assert.Equal(t, out, path+":42: $.services[1].upstreams[0].address: address 10.64.2.10:6081 is already used at $.services[0].upstreams[0].address (line 18)\n")

	out, err = runCommand(t, "", "check", "--json", path)
	assert.ErrorIs(t, err, errInvalid)
	var problems []map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out), &problems))
	assert.Equal(t, problems[0]["line"], 42.0)

	_, err = runCommand(t, "", "check", path+".absent")
	assert.ErrorContains(t, err, "config.json.absent")
	_, err = runCommand(t, "", "check")
	assert.ErrorContains(t, err, "check takes one file")
}

func TestDiff(t *testing.T) {
	before := file(t, "", "")
	after := file(t, `"state": "in"`, `"state": "out"`)
	out, err := runCommand(t, "", "diff", before, after)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "State: in to out"), out)
	assert.Assert(t, strings.Contains(out, "no VM would take the new file"), out)
}

const testLog = `noise before {"time":"2026-01-01T00:00:01Z","msg":"flowPlaced","vm":"v1","caller":"1.2.3.4:5","upstream":"i-1","domain":"a"}
{"time":"2026-01-01T00:00:02Z","msg":"requestForwarded","vm":"v1","caller":"1.2.3.4:5","request":"r1","upstream":"i-1","published":true}
{"time":"2026-01-01T00:00:03Z","msg":"flowLost","vm":"v1","caller":"1.2.3.4:5","upstream":"i-1","domain":"a"}
not JSON
`

func TestExplain(t *testing.T) {
	out, err := runCommand(t, testLog, "explain", "r1")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(out, "cause: "+string(causeUpstreamLost)+"\n"), out)
	assert.Equal(t, strings.Count(out, "\n"), 4)
	refused := `{"time":"2026-01-01T00:00:02Z","msg":"flowRefused","vm":"v1","caller":"1.2.3.4:6","reason":"noRoom"}`
	out, err = runCommand(t, refused, "explain", "1.2.3.4:6")
	assert.Assert(t, err == nil && strings.HasSuffix(out, "cause: "+string(causeNoRoom)+"\n"), out)
	_, err = runCommand(t, testLog, "explain", "r2")
	assert.ErrorContains(t, err, `names "r2"`)
	_, err = runCommand(t, "", "explain", "r1", "absent.log")
	assert.ErrorContains(t, err, "absent.log")
}

func TestStatusOfSilentDaemon(t *testing.T) {
	out, err := runCommand(t, "", "status", "--json", "127.0.0.1:1")
	assert.Error(t, err, "status: 1 of 1 daemons did not answer")
	assert.Assert(t, strings.Contains(out, "connection refused"), out)
}

func TestShellCompletion(t *testing.T) {
	out, err := runCommand(t, "", "completion", "bash")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "amaranthctl"), out)
}

func TestExperiment(t *testing.T) {
	data, err := os.ReadFile("../examples/dark-upstreams.toml")
	assert.NilError(t, err)
	small := strings.NewReplacer("seeds = [1, 2]", "seeds = [1]", "lengthMillis = 10000", "lengthMillis = 4000", "atMillis = 5000", "atMillis = 3500", "callers = 750", "callers = 50").Replace(string(data))
	path := filepath.Join(t.TempDir(), "x.toml")
	assert.NilError(t, os.WriteFile(path, []byte(small), 0o600))
	plot := filepath.Join(t.TempDir(), "x.png")
	out, err := runCommand(t, "", "experiment", "--plot", plot, path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "together") && strings.Contains(out, "hash"), out)
	drawn, err := os.ReadFile(plot)
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(drawn, []byte("\x89PNG")))

	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(small, "slots = 2", "slots = 0", 1)), 0o600))
	_, err = runCommand(t, "", "experiment", path)
	assert.ErrorContains(t, err, "x.toml")
	assert.ErrorContains(t, err, "field fleet.slots")
	_, err = runCommand(t, "", "experiment")
	assert.ErrorContains(t, err, "takes one file")
}
