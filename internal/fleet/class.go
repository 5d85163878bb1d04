package fleet

import "fmt"

// Class is the urgency of a request or job. A higher value is more urgent.
type Class uint8

// The classes, least urgent first.
const (
	Background Class = iota
	Normal
	Urgent
)

// ClassCount is the number of classes.
const ClassCount = 3

var classNames = [ClassCount]string{"background", "normal", "urgent"}

// Classes lists every class, least urgent first.
func Classes() [ClassCount]Class { return [ClassCount]Class{Background, Normal, Urgent} }

// ParseClass returns the class with the given name, or an error that lists the
// valid names.
func ParseClass(name string) (Class, error) {
	for i, n := range classNames {
		if n == name {
			return Class(i), nil
		}
	}
	return Normal, fmt.Errorf("class %q: expected background, normal or urgent", name)
}

// String returns the name that ParseClass accepts.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// MarshalText encodes the class by name.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes the class from its name.
func (c *Class) UnmarshalText(text []byte) error {
	parsed, err := ParseClass(string(text))
	if err != nil {
		return err
	}
	*c = parsed
	return nil
}
