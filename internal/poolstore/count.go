package poolstore

import "strconv"

// DecodeCount decodes a number of machines: those that a pool needs, or has to give
// up. It returns Internal for any other value.
func DecodeCount(key string, value []byte) (int, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || n > maxMachines {
		return 0, invalid(key, "number of machines")
	}
	return n, nil
}
