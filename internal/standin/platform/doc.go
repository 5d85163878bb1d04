// Package platform is a small stand-in for the platform's service, for tests
// and for the dev command. It keeps everything in memory and has switches for
// the faults of the real one.
package platform
