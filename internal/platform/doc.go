// Package platform is the client of the platform's service: the key-value
// store, its leases and watches, and the lists of instances. Every call is
// counted by its purpose.
package platform
