// Package publisher reads values from the users' configuration service with
// blocking queries (long polling).
package publisher
