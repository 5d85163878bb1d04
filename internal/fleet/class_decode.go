package fleet

// UnmarshalYAML decodes the class from its name. Without this method the YAML
// decoder calls UnmarshalText, and renders the whole document again for each
// class that it decodes.
func (c *Class) UnmarshalYAML(decode func(any) error) error {
	var name string
	if err := decode(&name); err != nil {
		return err
	}
	return c.UnmarshalText([]byte(name))
}
