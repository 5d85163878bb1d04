// Package poolmanager runs the pools that this entry owns: it renews the entry's
// lease in the store, takes over pools without an owner, carries out what package
// scheduler decides, and saves the progress of jobs in the store. It reaches
// workers, the platform's store and machines through the narrow interfaces
// declared here.
package poolmanager
