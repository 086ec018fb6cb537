package config

import (
	"fmt"
	"reflect"
	"sort"
)

// ChangeAction tells what happens to a part of a file.
type ChangeAction string

// Actions of a change.
const (
	ChangeAdd    ChangeAction = "add"
	ChangeRemove ChangeAction = "remove"
	ChangeModify ChangeAction = "modify"
)

// Change is one difference between two files.
type Change struct {
	Action ChangeAction `json:"action"`
	Object string       `json:"object"`
	Detail string       `json:"detail,omitempty"`
}

// Diff lists what replacing from by to changes, ordered by object.
func Diff(from, to *File) (changes []Change) {
	before, after := flatten(from), flatten(to)
	for name, value := range after {
		old, had := before[name]
		switch {
		case !had:
			changes = append(changes, Change{Action: ChangeAdd, Object: name})
		case !reflect.DeepEqual(old, value):
			changes = append(changes, Change{Action: ChangeModify, Object: name, Detail: detail(old, value)})
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

// flatten gives each domain, service and upstream a name of its own.
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

// detail names the fields in which two values of one struct type differ.
func detail(a, b any) (text string) {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		fa, fb := va.Field(i).Interface(), vb.Field(i).Interface()
		if reflect.DeepEqual(fa, fb) {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%s: %s to %s", va.Type().Field(i).Name, show(fa), show(fb))
	}
	return text
}

func show(v any) string {
	if r, ok := v.(*Request); ok && r != nil {
		v = *r
	}
	return fmt.Sprintf("%v", v)
}
