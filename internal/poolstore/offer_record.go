package poolstore

import "persimmonbay/internal/lending"

// offerRecord is the stored form of a lending.Offer.
type offerRecord struct {
	Pool   string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint,omitempty"`
	At     int64  `cbor:"3,keyasint,omitempty"` // Unix time in milliseconds
}

// EncodeOffer returns the value of the key of an offered machine.
func EncodeOffer(o lending.Offer) ([]byte, error) {
	return encode(offerRecord{Pool: o.Pool, Target: o.Target, At: unixMillis(o.TakenAt)})
}

// DecodeOffer decodes the value of the key of an offered machine.
func DecodeOffer(key string, value []byte) (lending.Offer, error) {
	var r offerRecord
	err := decode(key, value, &r)
	return lending.Offer{Pool: r.Pool, Target: r.Target, TakenAt: fromUnixMillis(r.At)}, err
}
