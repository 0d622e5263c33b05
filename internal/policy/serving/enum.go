package serving

import "strconv"

// EnumName returns names[value], or the kind and the number, such as "mode 3", if names has no such
// index. The String methods of the policy packages use it.
func EnumName(names []string, kind string, value uint8) string {
	if int(value) < len(names) {
		return names[value]
	}
	return kind + " " + strconv.Itoa(int(value))
}
