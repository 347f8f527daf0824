package experimenter

import (
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
)

// Override sets one key of an experiment.
type Override struct {
	// Key is a path such as "load.callers".
	Key   string
	Value any
}

// ParseSweep parses "KEY=VALUE,VALUE,..." into one Override for each value. A value is a
// TOML value; text that is not valid TOML is taken as a string.
func ParseSweep(text string) ([]Override, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return nil, fmt.Errorf("experimenter: %q is not of the form KEY=VALUE,VALUE", text)
	}
	var list []Override
	for value := range strings.SplitSeq(values, ",") {
		var decoded struct{ V any }
		if toml.Unmarshal([]byte("V = "+value), &decoded) != nil {
			decoded.V = value
		}
		list = append(list, Override{Key: key, Value: decoded.V})
	}
	return list, nil
}

// String formats o as KEY=VALUE.
func (o Override) String() string { return fmt.Sprintf("%s=%v", o.Key, o.Value) }

// apply sets the key in a decoded document.
func (o Override) apply(tree map[string]any) error {
	parts := strings.Split(o.Key, ".")
	for _, part := range parts[:len(parts)-1] {
		if tree[part] == nil {
			tree[part] = map[string]any{}
		}
		next, ok := tree[part].(map[string]any)
		if !ok {
			return fmt.Errorf("experimenter: override: key %s is not a table", part)
		}
		tree = next
	}
	tree[parts[len(parts)-1]] = o.Value
	return nil
}
