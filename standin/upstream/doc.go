// Package upstream stands in for the users' back ends.
//
// A back end takes Geneve packets of its own service and answers the caller
// directly, as a kernel would: a SYN opens a connection, and a segment of a
// connection that it does not know is answered with a reset. Its replies name
// the back end, so that callers notice a flow that moved.
package upstream
