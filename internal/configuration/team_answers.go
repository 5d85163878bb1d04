package configuration

// TeamAnswers is what a new team says of itself.
type TeamAnswers struct {
	Name      string `yaml:"name" validate:"required,label"`
	LateMeans string `yaml:"lateMeans" validate:"required,oneof=harm annoyance nothing"` // what a late answer does to its people
	People    int    `yaml:"people" validate:"gt=0"`                                     // who use it on a busy day
}
