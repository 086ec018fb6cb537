// Package store stands in for the users' metadata store, from which upstreams,
// the configuration and failure domains out of service are read. It can be away,
// silent, slow or forgetful, for all readers or for some.
package store
