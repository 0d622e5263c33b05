package config

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
)

// operatorFileVariable names the operator's file where the command line does not.
const operatorFileVariable = "SWIFTCOURSE_CONF"

// OperatorFilePath returns the path of the operator's file: what the command line says, or else the
// environment, or "" for no file.
func OperatorFilePath(flag string, getenv func(string) string) string {
	if flag != "" {
		return flag
	}
	return getenv(operatorFileVariable)
}

// LoadOperatorSettings reads the operator's file; "" gives the defaults, with all off. The error
// has a line for each fault of the file.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	if path == "" {
		// They are not validated, which a test does: the validator stays out of the memory of a
		// server without a file.
		return DefaultOperatorSettings(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperatorSettings(path, text)
}

// ParseOperatorSettings reads the text of the operator's file: a key and its values on each line,
// where # begins a comment. The source is the name that errors have for it; the error has a line
// for each fault.
func ParseOperatorSettings(source string, text []byte) (*OperatorSettings, error) {
	settings := DefaultOperatorSettings()
	err := settings.apply(source, text)
	return settings, err
}

// DefaultOperatorSettings returns what holds where no file says anything.
func DefaultOperatorSettings() *OperatorSettings {
	settings := &OperatorSettings{}
	for _, field := range operatorFields() {
		if field.defaultValue == "" {
			continue
		}
		if fault := setValue(field.of(settings), []string{field.defaultValue}); fault != nil {
			panic(fmt.Sprintf("default of %s: %v", field.key, fault)) // the tags are the program's own
		}
	}
	return settings
}

// apply reads a text over the settings that are there.
func (s *OperatorSettings) apply(source string, text []byte) error {
	p := newOperatorParser(s, source)
	p.readLines(text)
	p.validate()
	return p.err()
}

// operatorField is a field of OperatorSettings that a key of the file sets.
type operatorField struct {
	key          string
	index        []int  // for reflect.Value.FieldByIndex
	path         string // as the validator names it, such as "OperatorSettings.Fleet.Zone"
	defaultValue string // "" for the zero value
	isList       bool   // its key may be repeated
}

// of returns the field of the settings, to be set.
func (f *operatorField) of(settings *OperatorSettings) reflect.Value {
	return reflect.ValueOf(settings).Elem().FieldByIndex(f.index)
}

// operatorFields returns the fields of all keys, in the order of the struct.
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
