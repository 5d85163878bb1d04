// Package keycheck admits callers' calls: it judges them by the configuration in force,
// has the configuration read again where that may change the verdict, and counts and logs
// the outcomes.
package keycheck
