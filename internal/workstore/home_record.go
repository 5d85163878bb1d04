package workstore

// EncodeHome returns the value of the key of how many machines are each pool's
// own.
func EncodeHome(home map[string]int) ([]byte, error) { return encode(home) }

// DecodeHome reads the value of the key of how many machines are each pool's
// own.
func DecodeHome(key string, value []byte) (map[string]int, error) {
	var home map[string]int
	err := decode(key, value, &home)
	return home, err
}
