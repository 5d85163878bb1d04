package fleet

// UnmarshalYAML decodes the class from its name. Without it the YAML decoder
// uses UnmarshalText, for which it renders the whole document again at each
// class.
func (c *Class) UnmarshalYAML(decode func(any) error) error {
	var name string
	if err := decode(&name); err != nil {
		return err
	}
	return c.UnmarshalText([]byte(name))
}
