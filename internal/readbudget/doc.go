// Package readbudget decides how much clients may make a process hold before their requests are
// whole: which connection is given up when the memory or the places for connections are used up,
// until when a connection may take for the present step of its request, and when a head is too
// large. It knows no connections: an Account stands for one, and the time is passed in.
package readbudget
