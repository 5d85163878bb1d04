// Package platform is a small stand-in for the platform's service, for tests
// and for the dev command. It holds all data in memory and can inject the faults
// of the real one.
package platform
