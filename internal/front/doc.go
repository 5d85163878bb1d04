// Package front is the callers' HTTP face. It only turns HTTP into requests
// and results into HTTP; package request decides.
package front
