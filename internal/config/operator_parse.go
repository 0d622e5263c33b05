package config

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/go-playground/validator/v10"
)

// commentMark begins a comment, which extends to the end of the line.
const commentMark = "#"

// operatorParser parses a text into settings and collects all faults of the text.
type operatorParser struct {
	settings *OperatorSettings
	source   string
	fields   []operatorField
	lines    map[string]int // line number by key; for a repeated key the last one
	faults   []error
}

func newOperatorParser(settings *OperatorSettings, source string) *operatorParser {
	return &operatorParser{
		settings: settings,
		source:   source,
		fields:   operatorFields(),
		lines:    map[string]int{},
	}
}

// err returns all faults, joined, or nil.
func (p *operatorParser) err() error { return errors.Join(p.faults...) }

// addFault adds a FieldError for a key on a line, or on no line if the line is 0.
func (p *operatorParser) addFault(line int, key string, value any, reason string) {
	p.faults = append(p.faults, &FieldError{
		Source: p.source,
		Line:   line,
		Key:    key,
		Value:  value,
		Reason: reason,
	})
}

// parseLines sets the fields of the keys in the text.
func (p *operatorParser) parseLines(text []byte) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		if words := splitLine(lines.Text()); len(words) > 0 {
			p.parseLine(number, words[0], words[1:])
		}
	}
	if err := lines.Err(); err != nil {
		p.faults = append(p.faults, fmt.Errorf("%s: %w", p.source, err))
	}
}

// parseLine sets the field of a key to the values on the key's line.
func (p *operatorParser) parseLine(number int, key string, values []string) {
	field := p.fieldOf(key)
	if field == nil {
		p.addFault(number, key, nil, "unknown key; the most similar known key is "+p.nearestKey(key))
		return
	}
	expected := "; expected " + expectedValues[key]
	switch {
	case len(values) == 0:
		p.addFault(number, key, nil, "has no value"+expected)
		return
	case !field.isList && p.lines[key] > 0:
		p.addFault(number, key, nil, fmt.Sprintf("is already set on line %d", p.lines[key]))
		return
	case !field.isList && len(values) > 1:
		p.addFault(number, key, nil, fmt.Sprintf("has %d values instead of one%s", len(values), expected))
		return
	}
	p.lines[key] = number
	if invalid := setValue(field.valueIn(p.settings), values); invalid != nil {
		p.addFault(number, key, invalid.text, invalid.reason+expected)
	}
}

// validate checks the rules of all settings. Settings that the text does not set are checked too, as
// their rules may depend on other settings.
func (p *operatorParser) validate() {
	err := validator.New().Struct(p.settings)
	var outOfRange validator.ValidationErrors
	if !errors.As(err, &outOfRange) {
		if err != nil {
			p.faults = append(p.faults, err)
		}
		return
	}
	for _, fault := range outOfRange {
		key := p.keyOfPath(fault.StructNamespace())
		p.addFault(p.lines[key], key, fault.Value(), "is out of range; expected "+expectedValues[key])
	}
}

// fieldOf returns the field that a key sets, or nil if the key is unknown.
func (p *operatorParser) fieldOf(key string) *operatorField {
	i := slices.IndexFunc(p.fields, func(f operatorField) bool { return f.key == key })
	if i < 0 {
		return nil
	}
	return &p.fields[i]
}

// keyOfPath returns the key of the field with a path, or "" if there is none.
func (p *operatorParser) keyOfPath(path string) string {
	for _, field := range p.fields {
		if field.path == path {
			return field.key
		}
	}
	return ""
}

// nearestKey returns the known key with the least edit distance to an unknown one.
func (p *operatorParser) nearestKey(unknown string) string {
	nearest := slices.MinFunc(p.fields, func(a, b operatorField) int {
		return levenshtein.ComputeDistance(a.key, unknown) - levenshtein.ComputeDistance(b.key, unknown)
	})
	return nearest.key
}

// splitLine returns the words of a line, without its comment.
func splitLine(line string) []string {
	line, _, _ = strings.Cut(line, commentMark)
	return strings.Fields(line)
}
