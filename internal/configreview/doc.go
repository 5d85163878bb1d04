// Package configreview examines a configuration of queues, pools and teams before it is
// sent to the entries: what would be wrong with it, and how it differs from another one.
// Its texts hold no key and no digest of one.
package configreview
