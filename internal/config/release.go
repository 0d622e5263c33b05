package config

import (
	"slices"
	"strings"
)

// The keys of lists that a release replaces instead of extending them.
const (
	trustedPrefixesKey = "door-known"
	quotaLimitsKey     = "budget"
)

// WithRelease returns a copy of the settings, overridden by the text of a release. The release's
// values replace those of the file; its trusted prefixes and quota limits replace the whole list of
// the file. Errors have the release's name as their Source.
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
		switch key := words[0]; {
		case isLocalKey(key):
			return nil, &FieldError{
				Source: release,
				Key:    key,
				Reason: "can't be set by a release: it belongs to each server's own file",
			}
		case key == trustedPrefixesKey:
			merged.ConnLimit.TrustedPrefixes = nil
		case key == quotaLimitsKey:
			merged.Quota.Limits = nil
		}
	}
	err := merged.apply(release, []byte(text))
	return &merged, err
}

// isLocalKey reports whether a key may be set only by a server's own file: the keys of the server's
// membership in the fleet and of replication.
func isLocalKey(key string) bool {
	return strings.HasPrefix(key, "fleet") || strings.HasPrefix(key, "replica")
}

// CanonicalText returns the canonical form of a text of settings, which is the form of a release:
// no comments, single spaces, and lines sorted by key, so that texts with the same settings have
// the same digest. The lines of one key keep their order.
func CanonicalText(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		if words := splitLine(line); len(words) > 0 {
			lines = append(lines, strings.Join(words, " "))
		}
	}
	if len(lines) == 0 {
		return ""
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(keyOfLine(a), keyOfLine(b)) })
	return strings.Join(lines, "\n") + "\n"
}

// keyOfLine returns the key of a canonical line.
func keyOfLine(line string) string {
	key, _, _ := strings.Cut(line, " ")
	return key
}
