// Package wire holds the protobuf messages between entries, their framing and
// their conversion from and to the plain types of the decision packages.
package wire
