// Package packed compresses documents for the store and for messages to peers. It
// also reads uncompressed documents, because earlier releases stored those.
package packed
