// Package decay holds sums and means whose samples lose weight exponentially with their
// age.
package decay
