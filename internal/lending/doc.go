// Package lending decides which machines move to which pool. It does no encoding
// and no I/O and reads no clock.
package lending
