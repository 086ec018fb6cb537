// Package capacity measures how the cost of a daemon grows with the size of the
// deployment, on the decisions themselves and without a network, and works out
// from the slopes what a daemon costs at the size of the aim.
package capacity
