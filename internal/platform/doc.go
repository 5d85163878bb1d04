// Package platform is the client of the platform's HTTP service: the key-value
// store with its leases and watches, the list of instances, their reboots, and
// the tasks of workers. Every call is counted by its purpose and kind.
package platform
