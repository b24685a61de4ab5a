package gateway

import (
	"os"

	"basilrudder/internal/placement"
	"basilrudder/internal/schema/relaysettings"
	"basilrudder/schema"
)

const (
	settingsSchema = "relaysettings.json"
	// peerKeyVariable is the environment variable that overrides peers.key.
	peerKeyVariable = "BASILRUDDER_PEER_KEY"
)

// LoadSettings reads and checks a settings file (TOML). It returns the settings, or every
// problem found.
func LoadSettings(path string) (*relaysettings.RelaySettings, schema.Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, schema.Problems{{File: path, Expected: "a readable file: " + err.Error()}}
	}
	return ParseSettings(path, data)
}

// ParseSettings is LoadSettings for data already read; name identifies it in problems.
func ParseSettings(name string, data []byte) (*relaysettings.RelaySettings, schema.Problems) {
	out := &relaysettings.RelaySettings{}
	if problems := schema.Decode(settingsSchema, name, data, out); len(problems) > 0 {
		return nil, problems
	}
	if key := os.Getenv(peerKeyVariable); key != "" {
		out.Peers.Key = key
	}
	return out, nil
}

func placementFeatures(s *relaysettings.PlacementSettings) placement.Features {
	return placement.Features{
		LargeFleet:            s.LargeFleetInstances,
		SharedServerPaces:     s.SharedServerPaces,
		CalibratedPauses:      s.CalibratedPauses,
		SplitEngines:          s.SplitEngines,
		PreferOpenConnections: s.PreferOpenConnections,
	}
}
