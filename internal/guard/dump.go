package guard

import (
	"encoding/json"
	"fmt"
)

// AddTo adds what the clients make the process hold to a state dump in JSON. It returns an error if
// the dump is no JSON object.
func (g *Guard) AddTo(dump []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(dump, &fields); err != nil {
		return nil, fmt.Errorf("state dump: %w", err)
	}
	usage, err := json.Marshal(g.Usage())
	if err != nil {
		return nil, fmt.Errorf("usage of clients: %w", err)
	}
	fields["clients"] = usage
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("state dump: %w", err)
	}
	return encoded, nil
}
