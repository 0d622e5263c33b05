package config

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
)

// operatorFileVariable is the environment variable with the path of the operator's file, for a
// command line without one.
const operatorFileVariable = "SWIFTCOURSE_CONF"

// OperatorFilePath returns the path of the operator's file: that of the command line's flag, or else
// that of the environment, or "" for no file.
func OperatorFilePath(flag string, getenv func(string) string) string {
	if flag != "" {
		return flag
	}
	return getenv(operatorFileVariable)
}

// LoadOperatorSettings reads the operator's file. An empty path stands for a file without a key, so
// it returns the defaults. An error joins a FieldError for each fault of the file, a line each.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	if path == "" {
		// The defaults are not validated, so that a server without a file does not hold the
		// validator in memory. A test validates them.
		return DefaultOperatorSettings(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperatorSettings(path, text)
}

// ParseOperatorSettings parses the text of the operator's file: a key and its values on each line,
// where # begins a comment. The source is the FieldError.Source of the errors, which are joined.
func ParseOperatorSettings(source string, text []byte) (*OperatorSettings, error) {
	settings := DefaultOperatorSettings()
	err := settings.apply(source, text)
	return settings, err
}

// DefaultOperatorSettings returns the settings of a file without a key.
func DefaultOperatorSettings() *OperatorSettings {
	settings := &OperatorSettings{}
	for _, field := range operatorFields() {
		if field.defaultValue == "" {
			continue
		}
		if invalid := setValue(field.valueIn(settings), []string{field.defaultValue}); invalid != nil {
			panic(fmt.Sprintf("default of %s: %v", field.key, invalid)) // a tag of this package is wrong
		}
	}
	return settings
}

// apply parses a text, sets what it names and validates the result.
func (s *OperatorSettings) apply(source string, text []byte) error {
	p := newOperatorParser(s, source)
	p.parseLines(text)
	p.validate()
	return p.err()
}

// operatorField is a field of OperatorSettings that a key of the file sets.
type operatorField struct {
	key          string
	index        []int  // for reflect.Value.FieldByIndex
	path         string // as the validator names it, such as "OperatorSettings.Fleet.Zone"
	defaultValue string // "" for the zero value
	isList       bool   // the key may be repeated and have several values
}

// valueIn returns the field's value in settings, which can be set.
func (f *operatorField) valueIn(settings *OperatorSettings) reflect.Value {
	return reflect.ValueOf(settings).Elem().FieldByIndex(f.index)
}

// operatorFields returns the fields of all keys, in the order of OperatorSettings.
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
