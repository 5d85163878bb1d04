// Package wire defines the protobuf messages between entries, their framing and
// their conversion from and to the types of the packages that make decisions.
package wire
