package poolstore

// EncodeHome returns the value of the key of how many machines are each pool's
// own.
func EncodeHome(home map[string]int) ([]byte, error) { return encode(home) }

// DecodeHome reads the value of the key of how many machines are each pool's
// own.
func DecodeHome(key string, value []byte) (map[string]int, error) {
	var home map[string]int
	if err := decode(key, value, &home); err != nil {
		return nil, err
	}
	for _, n := range home {
		if n < 0 || n > maxMachines {
			return nil, invalid(key, "number of machines")
		}
	}
	return home, nil
}
