// Package configfile reads the declarative file that operators publish. A file
// is parsed, validated and applied as a whole. Parse reports every problem with
// the path of the field that caused it.
//
// It stands apart from package config since compiling the schema takes longer
// than all else that a small daemon does at its start.
package configfile
