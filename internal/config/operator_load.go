package config

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
)

// operatorFileVariable is the environment variable with the path of the operator's file. It is used
// if the command line names no file.
const operatorFileVariable = "SWIFTCOURSE_CONF"

// OperatorFilePath returns the path of the operator's file: the value of the command line's flag,
// or else of the environment variable. It is "" if neither is set.
func OperatorFilePath(flag string, getenv func(string) string) string {
	if flag != "" {
		return flag
	}
	return getenv(operatorFileVariable)
}

// LoadOperatorSettings reads and validates the operator's file. For an empty path it returns the
// defaults. The error for an invalid file joins a FieldError for each fault.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	if path == "" {
		// The defaults are validated by a test instead, so that a server without a file does not
		// keep the validator in memory.
		return DefaultOperatorSettings(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperatorSettings(path, text)
}

// ParseOperatorSettings parses and validates the text of an operator's file. Each line has a key
// and its values; # begins a comment. The error joins a FieldError with the given source for each
// fault.
func ParseOperatorSettings(source string, text []byte) (*OperatorSettings, error) {
	settings := DefaultOperatorSettings()
	err := settings.apply(source, text)
	return settings, err
}

// DefaultOperatorSettings returns the settings of an empty file.
func DefaultOperatorSettings() *OperatorSettings {
	settings := &OperatorSettings{}
	for _, field := range operatorFields() {
		if field.defaultValue == "" {
			continue
		}
		if invalid := setValue(field.valueIn(settings), []string{field.defaultValue}); invalid != nil {
			// A `default` tag in operator.go is invalid.
			panic(fmt.Sprintf("default of %s: %q %s", field.key, invalid.text, invalid.reason))
		}
	}
	return settings
}

// apply parses a text, sets the fields of its keys and validates all settings.
func (s *OperatorSettings) apply(source string, text []byte) error {
	p := newOperatorParser(s, source)
	p.parseLines(text)
	p.validate()
	return p.err()
}

// operatorField describes a field of OperatorSettings that a key of the file sets.
type operatorField struct {
	key          string
	index        []int  // for reflect.Value.FieldByIndex
	path         string // the validator's name of the field, such as "OperatorSettings.Fleet.Zone"
	defaultValue string // "" for the zero value
	isList       bool   // the key may be repeated and may have several values on a line
}

// valueIn returns the settable value of the field in settings.
func (f *operatorField) valueIn(settings *OperatorSettings) reflect.Value {
	return reflect.ValueOf(settings).Elem().FieldByIndex(f.index)
}

// operatorFields returns the fields of all keys, in the order of their declaration.
func operatorFields() []operatorField {
	settings := reflect.TypeFor[OperatorSettings]()
	var fields []operatorField
	for _, group := range reflect.VisibleFields(settings) {
		for _, field := range reflect.VisibleFields(group.Type) {
			fields = append(fields, operatorField{
				key:          field.Tag.Get("key"),
				index:        append(slices.Clone(group.Index), field.Index...),
				path:         strings.Join([]string{settings.Name(), group.Name, field.Name}, "."),
				defaultValue: field.Tag.Get("default"),
				isList:       field.Type.Kind() == reflect.Slice,
			})
		}
	}
	return fields
}
