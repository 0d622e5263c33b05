package process

import (
	"strconv"
	"strings"
)

// statisticsMarker occurs in every log line with a server's statistics.
const statisticsMarker = "event=statistics "

// LogFields are the key=value fields of a log line.
type LogFields map[string]string

// ParseLogFields returns the key=value fields of a log line and skips all other words.
func ParseLogFields(line string) LogFields {
	fields := LogFields{}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			fields[key] = value
		}
	}
	return fields
}

// Number returns the numeric value of a field, or 0 if the field is absent or not a number.
func (f LogFields) Number(key string) float64 {
	n, err := strconv.ParseFloat(f[key], 64)
	if err != nil {
		return 0
	}
	return n
}
