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

// commentMark begins a comment in the operator's file.
const commentMark = "#"

// operatorParser reads one text over the settings that are there and gathers all of its faults.
type operatorParser struct {
	settings *OperatorSettings
	source   string
	fields   []operatorField
	lines    map[string]int // where each key stands, the last one of a repeated key
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

// err returns all faults, a line each, or nil.
func (p *operatorParser) err() error { return errors.Join(p.faults...) }

// reject notes a fault of a key on a line, 0 for none.
func (p *operatorParser) reject(line int, key string, value any, reason string) {
	p.faults = append(p.faults, &FieldError{
		Source: p.source,
		Line:   line,
		Key:    key,
		Value:  value,
		Reason: reason,
	})
}

// readLines sets what the text says.
func (p *operatorParser) readLines(text []byte) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		if words := wordsOf(lines.Text()); len(words) > 0 {
			p.readLine(number, words[0], words[1:])
		}
	}
	if err := lines.Err(); err != nil {
		p.faults = append(p.faults, fmt.Errorf("%s: %w", p.source, err))
	}
}

// readLine sets what one line says.
func (p *operatorParser) readLine(number int, key string, values []string) {
	field := p.fieldOf(key)
	if field == nil {
		p.reject(number, key, nil, "unknown key; the nearest is "+p.nearestKey(key))
		return
	}
	expected := "; expected " + expectedValues[key]
	switch {
	case len(values) == 0:
		p.reject(number, key, nil, "has no value"+expected)
		return
	case !field.isList && p.lines[key] > 0:
		p.reject(number, key, nil, fmt.Sprintf("is already set on line %d", p.lines[key]))
		return
	case !field.isList && len(values) > 1:
		p.reject(number, key, nil, fmt.Sprintf("has %d values%s", len(values), expected))
		return
	}
	p.lines[key] = number
	if fault := setValue(field.of(p.settings), values); fault != nil {
		p.reject(number, key, fault.text, fault.reason+expected)
	}
}

// validate checks the ranges of all settings, those that the text does not name too, as some depend
// on others.
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
		key := p.keyAt(fault.StructNamespace())
		p.reject(p.lines[key], key, fault.Value(), "is out of range; expected "+expectedValues[key])
	}
}

// fieldOf returns the field that a key sets, or nil.
func (p *operatorParser) fieldOf(key string) *operatorField {
	i := slices.IndexFunc(p.fields, func(f operatorField) bool { return f.key == key })
	if i < 0 {
		return nil
	}
	return &p.fields[i]
}

// keyAt returns the key of the field that the validator names by a path, or "".
func (p *operatorParser) keyAt(path string) string {
	for _, field := range p.fields {
		if field.path == path {
			return field.key
		}
	}
	return ""
}

// nearestKey returns the key that an unknown one is most like.
func (p *operatorParser) nearestKey(unknown string) string {
	nearest := slices.MinFunc(p.fields, func(a, b operatorField) int {
		return levenshtein.ComputeDistance(a.key, unknown) - levenshtein.ComputeDistance(b.key, unknown)
	})
	return nearest.key
}

// wordsOf returns the words of a line without its comment.
func wordsOf(line string) []string {
	line, _, _ = strings.Cut(line, commentMark)
	return strings.Fields(line)
}
