//go:build race

package test

// buildFlags builds the binary with the race detector, as these tests are.
var buildFlags = []string{"-race"}
