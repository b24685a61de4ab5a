package trial

import (
	"encoding/json"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/platform"
)

const customersPerValue = 2000

// Values turns an inventory into published values: customers in several, so
// that none exceeds what the platform holds, and one for the rest.
func Values(inv *inventory.Inventory) ([]platform.File, error) {
	rest := *inv
	rest.Customers = nil
	var out []platform.File
	for i := 0; i < len(inv.Customers); i += customersPerValue {
		part := &inventory.Inventory{Customers: inv.Customers[i:min(i+customersPerValue, len(inv.Customers))]}
		value, err := Value(fmt.Sprintf("customers-%03d.toml", i/customersPerValue), part)
		if err != nil {
			return nil, err
		}
		out = append(out, value)
	}
	value, err := Value("inventory.toml", &rest)
	if err != nil {
		return nil, err
	}
	return append(out, value), nil
}

// Value turns part of an inventory into one published value. It goes through
// JSON, whose tags name the keys.
func Value(key string, inv *inventory.Inventory) (platform.File, error) {
	data, err := json.Marshal(inv)
	if err != nil {
		return platform.File{}, err
	}
	var doc map[string]any
	if err := json.Unmarshal(data, &doc); err != nil {
		return platform.File{}, err
	}
	text, err := toml.Marshal(whole(doc))
	return platform.File{Key: key, Data: text}, err
}

// whole turns the floats that JSON makes of integers back, for TOML tells the
// two apart.
func whole(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, item := range v {
			v[key] = whole(item)
		}
	case []any:
		for i, item := range v {
			v[i] = whole(item)
		}
	case float64:
		if v == float64(int64(v)) {
			return int64(v)
		}
	}
	return value
}
