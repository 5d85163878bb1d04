// Package packed compresses documents for the store and for peers. It reads
// plain documents too, as earlier releases stored them.
package packed
