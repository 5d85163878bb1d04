// Package ledger decides who may run the work under an Idempotency-Key.
package ledger
