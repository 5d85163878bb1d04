// Package configstore keeps the accepted configurations in the platform's
// store: one key whose version orders them, and one key for each earlier one.
package configstore
