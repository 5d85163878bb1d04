// Package problem defines the program's error types: Error, with the step in
// which it arose and the peer involved, and Findings, the faults of a document.
package problem
