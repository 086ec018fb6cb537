// Package demo runs a whole deployment in one process on loopback and reports
// how it bore a drain and a failure domain that left and returned.
package demo
