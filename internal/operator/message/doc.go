// Package message holds the JSON messages of the operators' HTTP face, shared
// by the server and the command line.
package message
