// Package catalog holds what is published, in the form that decisions about
// packets need: which service an address leads to, which upstreams serve it,
// which failure domains are out of service, and which upstream a token in a
// packet names.
//
// A Catalog is immutable. Builder makes a new one after each change.
package catalog
