// Package platform reads the users' configuration service by blocking
// queries.
package platform
