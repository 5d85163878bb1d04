// Package lending decides which machines move to which pool. It knows no
// encoding, transport or clock.
package lending
