package configstore

import (
	"encoding/json"

	"persimmonbay/internal/packed"
)

// document is the text of a configuration. It is stored compressed; uncompressed
// documents, which earlier releases stored, can be read too.
type document []byte

// MarshalJSON implements json.Marshaler.
func (d document) MarshalJSON() ([]byte, error) { return json.Marshal(packed.Pack(d)) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *document) UnmarshalJSON(text []byte) error {
	var stored []byte
	if err := json.Unmarshal(text, &stored); err != nil {
		return err
	}
	unpacked, err := packed.Unpack(stored)
	*d = unpacked
	return err
}
