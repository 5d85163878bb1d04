// Package message defines the JSON messages of the operators' HTTP API. The
// server and the command line share them.
package message
