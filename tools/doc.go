// Package tools pins the versions of the formatter and the linter that the
// continuous integration runs.
package tools
