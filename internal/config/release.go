package config

import (
	"slices"
	"strings"
)

// WithRelease returns the settings with the text of a release over them: the lists that the text
// names replace those of the file, and so do single values. Errors name the release as their
// source.
func (s *OperatorSettings) WithRelease(release, text string) (*OperatorSettings, error) {
	merged := *s
	if text == "" {
		return &merged, nil
	}
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		key := words[0]
		if isLocalKey(key) {
			return nil, &FieldError{Source: release, Key: key, Reason: "belongs to each server's own file"}
		}
		switch key {
		case "door-known":
			merged.ConnLimit.TrustedPrefixes = nil
		case "budget":
			merged.Quota.Limits = nil
		}
	}
	err := merged.apply(release, []byte(text))
	return &merged, err
}

// isLocalKey reports whether a key can't be released, as it says what a server is to its fleet.
func isLocalKey(key string) bool {
	return strings.HasPrefix(key, "fleet") || strings.HasPrefix(key, "replica")
}

// CanonicalText returns a text of settings as a release carries it: no comments, single blanks and
// the keys in order, so that two texts that say the same have one digest. The lines of one key keep
// their order.
func CanonicalText(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		if words := wordsOf(line); len(words) > 0 {
			lines = append(lines, strings.Join(words, " "))
		}
	}
	if len(lines) == 0 {
		return ""
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(keyOf(a), keyOf(b)) })
	return strings.Join(lines, "\n") + "\n"
}

// keyOf returns the key of a canonical line.
func keyOf(line string) string {
	key, _, _ := strings.Cut(line, " ")
	return key
}
