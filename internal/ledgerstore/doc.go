// Package ledgerstore keeps the ledger's log in the platform's store, encoded
// as protobuf.
package ledgerstore
