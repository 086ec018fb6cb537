package config

import (
	"fmt"
	"reflect"
	"sort"
)

// ChangeAction is the kind of a change between two files.
type ChangeAction string

// Values of ChangeAction.
const (
	ChangeAdd    ChangeAction = "add"
	ChangeRemove ChangeAction = "remove"
	ChangeModify ChangeAction = "modify"
)

// Change is one difference between two files. Object names the part that
// changed, such as "upstream web/a"; Detail lists the changed fields of a
// modified object.
type Change struct {
	Action ChangeAction `json:"action"`
	Object string       `json:"object"`
	Detail string       `json:"detail,omitempty"`
}

// Diff returns the changes that replace from by to, ordered by object.
func Diff(from, to *File) (changes []Change) {
	before, after := flatten(from), flatten(to)
	for name, value := range after {
		old, had := before[name]
		switch {
		case !had:
			changes = append(changes, Change{Action: ChangeAdd, Object: name})
		case !reflect.DeepEqual(old, value):
			changes = append(changes, Change{Action: ChangeModify, Object: name, Detail: fieldChanges(old, value)})
		}
	}
	for name := range before {
		if _, has := after[name]; !has {
			changes = append(changes, Change{Action: ChangeRemove, Object: name})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Object < changes[j].Object })
	return changes
}

// flatten maps the name of each object of f to its value. Upstreams are objects
// of their own, so a service's value excludes them.
func flatten(f *File) map[string]any {
	m := map[string]any{"version": struct{ Version Version }{f.Version}, "hashKey": struct{ HashKey string }{f.HashKey}}
	for _, d := range f.Domains {
		m["domain "+string(d.Name)] = d
	}
	for _, s := range f.Services {
		upstreams := s.Upstreams
		s.Upstreams = nil
		m["service "+string(s.Name)] = s
		for _, u := range upstreams {
			m[fmt.Sprintf("upstream %s/%s", s.Name, u.Name)] = u
		}
	}
	return m
}

// fieldChanges lists the fields in which two values of the same struct type differ,
// with their old and new values.
func fieldChanges(a, b any) (text string) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		fa, fb := va.Field(i).Interface(), vb.Field(i).Interface()
		if reflect.DeepEqual(fa, fb) {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s: %s to %s", va.Type().Field(i).Name, formatValue(fa), formatValue(fb))
	}
	return text
}

// formatValue formats v for a change detail. It dereferences request settings,
// which would print as a pointer.
func formatValue(v any) string {
	if r, ok := v.(*Request); ok && r != nil {
		v = *r
	}
	return fmt.Sprintf("%v", v)
}
