package configstore

import "persimmonbay/internal/configuration"

// historic is a record that was replaced, with the version it had.
type historic struct {
	Version configuration.Version `json:"version"`
	Record  record                `json:"record"`
}

func (h historic) applied() Applied {
	return Applied{Version: h.Version, Base: h.Record.Base, Operator: h.Record.Operator, Applied: h.Record.Applied}
}
