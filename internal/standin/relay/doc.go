// Package relay is a small TCP relay for tests. It forwards connections and can
// close them all, or drop their data without closing them.
package relay
