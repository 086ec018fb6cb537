// Package tools pins the versions of the formatter and the linter that CI runs.
package tools
