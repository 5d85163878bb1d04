//go:build !race

package test

// buildFlags builds the binary without the race detector, as these tests are.
var buildFlags []string
