package process

import (
	"strconv"
	"strings"
)

// statisticsMark is in the log lines with a server's statistics.
const statisticsMark = "event=statistics "

// LogFields are the key=value fields of a log line.
type LogFields map[string]string

// ParseFields reads the fields of a log line; other words are skipped.
func ParseFields(line string) LogFields {
	fields := LogFields{}
	for _, word := range strings.Fields(line) {
		if key, value, ok := strings.Cut(word, "="); ok {
			fields[key] = value
		}
	}
	return fields
}

// Number returns a field as a number, or 0 where it is absent or not a number.
func (f LogFields) Number(key string) float64 {
	n, err := strconv.ParseFloat(f[key], 64)
	if err != nil {
		return 0
	}
	return n
}
