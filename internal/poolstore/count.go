package poolstore

import "strconv"

// DecodeCount reads the value of a key that holds a number of machines: what a
// pool needs, or has to give up.
func DecodeCount(key string, value []byte) (int, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 0 || n > maxMachines {
		return 0, invalid(key, "number of machines")
	}
	return n, nil
}
