// Package slots decides which entry may use which slots of an upstream. Each
// upstream has a home among the live entries, found by rendezvous hashing. The
// home lends the slots; a holder keeps what it was lent until it hands it back,
// on recall or of its own, or is surely gone. Time is passed in; the package
// knows no encoding and no transport.
package slots
