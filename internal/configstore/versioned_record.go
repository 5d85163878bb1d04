package configstore

import "persimmonbay/internal/configuration"

// versionedRecord is a record with its version, which the record itself cannot
// contain, because the store assigns it when the record is written.
type versionedRecord struct {
	Version configuration.Version `json:"version"`
	Record  record                `json:"record"`
}

// applied returns the description of h without its document.
func (v versionedRecord) applied() AppliedVersion {
	return AppliedVersion{Version: v.Version, Base: v.Record.Base, Operator: v.Record.Operator, Applied: v.Record.Applied}
}
