// Package configfile parses and validates the declarative configuration file
// that operators publish. A file is accepted or rejected as a whole. Parse
// reports each problem with the path and the line of the field at fault.
//
// It is separate from package config because compiling the JSON Schema takes
// longer than everything else that a small daemon does at startup.
package configfile
