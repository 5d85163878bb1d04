// Package intake takes jobs from callers, tells how they stand and cancels
// them. What it promises is kept in the store first, so any entry can serve any
// call. It knows no encoding of calls: each front end translates its own.
package intake
