// Package ledgerstore stores the ledger's log and its large answers in the
// platform's store, encoded as protobuf.
package ledgerstore
