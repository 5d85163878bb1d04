// Package admission decides whose turn it is: it keeps a guaranteed share for
// every class and, within a class, for every team, lends only what is idle, and
// refuses at once what cannot be answered before its deadline. Time is passed
// in; it knows no encoding, no transport and no lock.
package admission
