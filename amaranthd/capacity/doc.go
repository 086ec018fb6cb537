// Package capacity measures how the memory, CPU time and traffic of a daemon grow
// with the size of the deployment. It runs the decision code in process, without
// a network, and extrapolates linearly to the target size.
package capacity
