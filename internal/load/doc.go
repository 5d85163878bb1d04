// Package load offers requests to an HTTP address at a steady rate or with a
// steady number at work, and records what came of them. It is the load tool of
// the benchmarks and process tests.
package load
