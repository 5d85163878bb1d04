// Package fleet defines the basic types that other packages share: instances,
// resources, the classes and outcomes of requests, and the states of tasks. It
// parses, formats, adds and compares them, and imports only the standard
// library.
package fleet
