// Package ledger decides who may run the work under an Idempotency-Key. It
// keeps a log cut into shards. A batch goes into the log only by compare and
// swap on the state it was decided on, so that of all who extend a shard at
// once one wins and the others decide anew: no leader, lease or clock is
// needed for safety. It knows no encoding and no transport.
package ledger
