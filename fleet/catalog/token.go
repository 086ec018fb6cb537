package catalog

import (
	"github.com/cespare/xxhash/v2"
)

// Token identifies an upstream in the packets of a flow. Every VM derives it
// from the identifier of the upstream, so that the VMs need not share any
// per-flow state. 0 identifies no upstream.
type Token uint32

// tokensPerUpstream is the number of candidate tokens of an upstream. The
// second and third are used if the preceding ones belong to older upstreams.
const tokensPerUpstream = 3

// tokensOf returns the candidate tokens of an upstream in order of preference.
func tokensOf(id UpstreamID) (tokens [tokensPerUpstream]Token) {
	sum := xxhash.Sum64String(string(id))
	for i := range tokens {
		tokens[i] = Token(uint32(sum) ^ uint32(sum>>32))
		if tokens[i] == 0 {
			tokens[i] = 1
		}
		sum = sum*0x9e3779b97f4a7c15 + 1
	}
	return tokens
}
