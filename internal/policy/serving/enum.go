package serving

import "strconv"

// EnumName returns the name of an enumeration's value, or its kind and number if names has none for
// it. The String methods of the policy packages use it.
func EnumName(names []string, kind string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return kind + " " + strconv.Itoa(int(value))
}
