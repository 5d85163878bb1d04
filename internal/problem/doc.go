// Package problem holds the program's own errors. Each carries the step at
// which it arose and the peer that was involved.
package problem
