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

// ParseSweep reads "KEY=VALUE,VALUE,..." as one Override for each value. Values
// are those of TOML; what is none is a string.
func ParseSweep(text string) ([]Override, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return nil, fmt.Errorf("experimenter: %q is not of the form KEY=VALUE,VALUE", text)
	}
	var list []Override
	for value := range strings.SplitSeq(values, ",") {
		var holder struct{ V any }
		if toml.Unmarshal([]byte("V = "+value), &holder) != nil {
			holder.V = value
		}
		list = append(list, Override{Key: key, Value: holder.V})
	}
	return list, nil
}

// String formats o as it was written.
func (o Override) String() string { return fmt.Sprintf("%s=%v", o.Key, o.Value) }

func (o Override) apply(tree map[string]any) error {
	parts := strings.Split(o.Key, ".")
	for _, part := range parts[:len(parts)-1] {
		if tree[part] == nil {
			tree[part] = map[string]any{}
		}
		next, ok := tree[part].(map[string]any)
		if !ok {
			return fmt.Errorf("experimenter: %s is not a table", part)
		}
		tree = next
	}
	tree[parts[len(parts)-1]] = o.Value
	return nil
}
