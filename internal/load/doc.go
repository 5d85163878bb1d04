// Package load generates HTTP requests at a constant rate or with a constant
// number in progress, and records their results. Benchmarks and process tests
// use it.
package load
