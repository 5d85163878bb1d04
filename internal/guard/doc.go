// Package guard keeps clients that a process does not control within its machine. It wraps the
// connections and handlers of HTTP servers and reports to package readbudget what arrives, and
// closes the connections that it gives up.
package guard
