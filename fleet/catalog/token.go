package catalog

import (
	"github.com/cespare/xxhash/v2"
)

// Token names an upstream in the packets of a flow. Every VM derives it from
// the upstream's identifier alone, so that no state about flows is shared.
// Zero names no upstream.
type Token uint32

// tokensEach is the number of tokens that an upstream may go by. The further
// ones serve upstreams whose first token belongs to an older upstream.
const tokensEach = 3

// tokensOf returns the tokens of the upstream with the given identifier, in
// the order of preference.
func tokensOf(id UpstreamID) (tokens [tokensEach]Token) {
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
