// Package document decodes documents in JSON (RFC 8259) and CBOR (RFC 8949) that other
// processes wrote: settings, items of the store, answers of HTTP servers, the parameters of
// calls and datagrams.
//
// The name of a field counts only if it is spelled exactly as in the type, upper and lower
// case included. A field that occurs twice in an object makes the document malformed, since
// it is not known which of the two its writer meant.
package document
