package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const (
	// contextBefore and contextAfter bound the time window around a request within
	// which state changes of daemons are shown.
	contextBefore = 10 * time.Second
	contextAfter  = 3 * time.Second
	maxLineBytes  = 1 << 20
)

// logLine holds the fields of a daemon's log line that explain uses. raw is the
// whole line.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	VM       string    `json:"vm"`
	Request  string    `json:"request"`
	Caller   string    `json:"caller"`
	Service  string    `json:"service"`
	Upstream string    `json:"upstream"`
	Domain   string    `json:"domain"`
	Key      string    `json:"key"`
	Reason   string    `json:"reason"`
	To       string    `json:"to"`
	raw      json.RawMessage
}

// cause is the most likely reason for the outcome of a request.
type cause string

// Causes, in the order in which findCause checks for them.
const (
	causePartition    cause = "the upstream's failure domain could not be reached from the VM"
	causeUpstreamLost cause = "the upstream fell silent and the flow was reset"
	causeNoRoute      cause = "the address led to no service in the configuration that the VM knew"
	causeNoUpstream   cause = "no upstream of the service took new flows"
	causeNoRoom       cause = "upstreams of the service rejected requests, and the VM held back this priority"
	causeUnknownToken cause = "the packets named an upstream that the VM did not know"
	causeRemoved      cause = "the upstream was no longer published"
	causeNone         cause = "the daemons forwarded it and saw nothing wrong"
)

// explanation is the history of a request with its most likely cause.
type explanation struct {
	Request string            `json:"request"`
	Cause   cause             `json:"cause"`
	Lines   []json.RawMessage `json:"lines"`
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from daemons' logs what became of a request and why",
		ArgsUsage: "ID [LOG-FILE...]",
		Description: "ID is a request's identifier, or a caller's address and port for all of a flow.\n" +
			"Without files, the logs are read from standard input.\n" +
			"Exit status: 0 if the request was found, 1 otherwise.",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the history as JSON"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return errors.New("explain takes the identifier of a request")
			}
			lines, err := readLogs(cmd.Args().Tail(), cmd.Root().Reader)
			if err != nil {
				return err
			}
			e, err := explain(cmd.Args().First(), lines)
			if err != nil {
				return err
			}
			return e.print(cmd.Root().Writer, cmd.Bool("json"))
		},
	}
}

// readLogs reads the files and sorts their lines by time. Without files, it reads
// in and keeps its order.
func readLogs(files []string, in io.Reader) (lines []logLine, err error) {
	if len(files) == 0 {
		lines, err = scanLog(in)
		return lines, eris.Wrap(err, "standard input")
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := scanLog(f)
		_ = f.Close()
		if err != nil {
			return nil, eris.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// scanLog returns the lines that contain a JSON object. It ignores a prefix that
// a log collector wrote before the object, and skips all other lines.
func scanLog(r io.Reader) (lines []logLine, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		text := bytes.Clone(s.Bytes()[at:])
		var l logLine
		if json.Unmarshal(text, &l) != nil || l.Message == "" {
			continue
		}
		l.raw = text
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// explain collects the log lines of a request and of its flows, and the state
// changes on the VMs involved shortly before and after.
func explain(id string, lines []logLine) (e explanation, err error) {
	e.Request = id
	callers := make(map[string]bool)
	for _, l := range lines {
		if l.Caller != "" && (l.Request == id || l.Caller == id) {
			callers[l.Caller] = true
		}
	}
	if len(callers) == 0 {
		return e, fmt.Errorf("explain: no line of the logs names %q", id)
	}
	var own []logLine
	for _, l := range lines {
		if callers[l.Caller] && (l.Request == "" || l.Request == id || l.Caller == id) {
			own = append(own, l)
		}
	}
	related := relatedLines(own, lines)
	e.Cause = findCause(own, related)
	for _, l := range related {
		e.Lines = append(e.Lines, l.raw)
	}
	return e, nil
}

// relatedLines returns the request's own lines and the state changes that may
// have affected it, ordered by time.
func relatedLines(own, lines []logLine) (related []logLine) {
	vms, upstreams, domains := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, l := range own {
		vms[l.VM] = true
		upstreams[l.Upstream] = l.Upstream != ""
		domains[l.Domain] = l.Domain != ""
	}
	first, last := own[0].Time.Add(-contextBefore), own[len(own)-1].Time.Add(contextAfter)
	mine := make(map[string]bool, len(own))
	for _, l := range own {
		mine[string(l.raw)] = true
	}
	for _, l := range lines {
		within := !l.Time.Before(first) && !l.Time.After(last)
		if mine[string(l.raw)] || within && vms[l.VM] && l.isStateChange(upstreams, domains) {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return related
}

// isStateChange reports whether the line records a state change of its VM that
// concerns one of the upstreams or failure domains, or the VM as a whole.
func (l *logLine) isStateChange(upstreams, domains map[string]bool) bool {
	switch l.Message {
	case "upstreamHealth":
		return upstreams[l.Upstream]
	case "domainHealth", "domainHeard":
		return domains[l.Domain]
	case "itemChanged", "itemInvalid":
		name := l.Key[strings.LastIndexByte(l.Key, '/')+1:]
		return upstreams[name] || domains[name] || strings.HasSuffix(l.Key, "config")
	case "admissionChanged", "daemonStarted", "daemonLeaving", "daemonStopped", "pauseDetected", "evidenceDistrusted", "platformDown", "platformBack", "catalogTaken":
		return true
	}
	return false
}

// findCause returns the most specific cause that the lines support.
func findCause(own, related []logLine) cause {
	reasons, lost := make(map[string]bool), make(map[string]bool)
	removed, anyLost := false, false
	for _, l := range own {
		reasons[l.Reason] = true
		lost[l.Domain] = lost[l.Domain] || l.Message == "flowLost"
		anyLost = anyLost || l.Message == "flowLost"
		removed = removed || strings.Contains(string(l.raw), `"published":false`)
	}
	for _, l := range related {
		if l.Message == "domainHeard" && lost[l.Domain] && strings.Contains(string(l.raw), `"heard":false`) ||
			l.Message == "domainHealth" && lost[l.Domain] && l.To == "lost" {
			return causePartition
		}
	}
	switch {
	case reasons["upstreamLost"], anyLost:
		return causeUpstreamLost
	case reasons["noRoute"]:
		return causeNoRoute
	case reasons["noUpstream"]:
		return causeNoUpstream
	case reasons["noRoom"]:
		return causeNoRoom
	case reasons["unknownToken"]:
		return causeUnknownToken
	case removed:
		return causeRemoved
	}
	return causeNone
}

// print writes the history as text or as JSON.
func (e *explanation) print(w io.Writer, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(e)
	}
	for _, raw := range e.Lines {
		if err := printLine(w, raw); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", e.Cause)
	return err
}

// printLine writes the time, the VM and the event of a line, followed by its
// other fields in the order of their names.
func printLine(w io.Writer, raw json.RawMessage) error {
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	text := fmt.Sprintf("%v %v %v", fields["time"], fields["vm"], fields["msg"])
	for _, name := range []string{"time", "vm", "msg", "level", "event"} {
		delete(fields, name)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, fields[name])
	}
	_, err := fmt.Fprintln(w, text)
	return err
}
