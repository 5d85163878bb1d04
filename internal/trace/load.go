package trace

import (
	"os"
	"path/filepath"
	"strings"

	"persimmonbay/internal/problem"
	"persimmonbay/internal/yamlfile"
)

// outcomesSuffix is what the name of the outcomes' file has in place of .yaml.
const outcomesSuffix = ".outcomes.yaml"

// Load reads the trace in file, the outcomes beside it and its questionnaire.
func Load(file string) (*Trace, error) {
	t := &Trace{}
	if err := read(file, t); err != nil {
		return nil, err
	}
	if err := read(strings.TrimSuffix(file, ".yaml")+outcomesSuffix, &t.Outcomes); err != nil {
		return nil, err
	}
	return t, read(filepath.Join(filepath.Dir(file), t.Answers), &t.Questionnaire)
}

func read(file string, target any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return problem.Wrap(problem.NotFound, problem.StepParse, "", err)
	}
	_, err = yamlfile.Decode(file, data, target)
	return err
}
