// Package publisher reads the users' configuration service by blocking
// queries.
package publisher
