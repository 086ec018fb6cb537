// Package store is a fake of the users' metadata store, which holds the registered
// upstreams, the configuration and the drained failure domains. It can refuse calls,
// not respond, respond slowly or compact its history, for all readers or for some, and
// come back from an older copy of its items.
package store
