// Package keeper runs the pools that this entry owns: it holds its lease in the
// store, takes over pools that nobody owns, carries out what package work
// decides, and keeps the progress of jobs in the store. It reaches workers, the
// platform's store and machines through the narrow interfaces declared here.
package keeper
