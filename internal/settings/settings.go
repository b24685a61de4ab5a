// Package settings loads and validates the settings of a daemon.
package settings

import (
	"net"
	"os"
	"strconv"

	"basilrudder/internal/schema/settings"
	"basilrudder/schema"
)

// PeerKeyVariable is the environment variable that overrides peers.key, so that the secret
// need not be stored in a file.
const PeerKeyVariable = "BASILRUDDER_PEER_KEY"

const (
	schemaRef         = "settings.json"
	environmentSource = "environment"
	minKeyLength      = 16
	maxPort           = 65535
)

// Load reads and validates the settings file at path. env returns the value of an
// environment variable, like os.Getenv. Load returns either the settings or all problems.
func Load(path string, env func(string) string) (*settings.Settings, schema.Problems) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, schema.Problems{{File: path, Expected: "a readable file: " + err.Error()}}
	}
	return Parse(path, data, env)
}

// Parse is like Load for the content of a file. Problems refer to the file by name.
func Parse(name string, data []byte, env func(string) string) (*settings.Settings, schema.Problems) {
	out := &settings.Settings{}
	if problems := schema.Decode(schemaRef, name, data, out); len(problems) > 0 {
		return nil, problems
	}
	keySource := name
	if key := env(PeerKeyVariable); key != "" {
		out.Peers.Key = key
		keySource = environmentSource
	}
	problems := validate(name, keySource, out)
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	return out, nil
}

func validate(name, keySource string, s *settings.Settings) schema.Problems {
	var problems schema.Problems
	addresses := []struct{ key, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
		{"platform.address", s.Platform.Address},
		{"advertise.callers", s.Advertise.Callers},
		{"advertise.peers", s.Advertise.Peers},
	}
	for i, seed := range s.Peers.Seeds {
		addresses = append(addresses, struct{ key, value string }{"peers.seeds[" + strconv.Itoa(i) + "]", seed})
	}
	for _, address := range addresses {
		if address.value == "" || validAddress(address.value) {
			continue
		}
		problems = append(problems, schema.Problem{
			File:     name,
			Key:      address.key,
			Value:    strconv.Quote(address.value),
			Expected: "a host and a port from 1 to 65535, like 10.0.0.1:8080",
		})
	}
	return append(problems, validateKey(name, keySource, s.Peers)...)
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 1 && number <= maxPort
}

// validateKey rejects keys that are too short and keys without an id. Without an id, links
// would name the key "". No published key has that id, so the instance would be unable to
// connect to its peers after a key rotation.
func validateKey(name, keySource string, peers settings.PeerSettings) schema.Problems {
	var problems schema.Problems
	if peers.Key != "" && len(peers.Key) < minKeyLength {
		problems = append(problems, schema.Problem{
			File:     keySource,
			Key:      "peers.key",
			Value:    schema.HiddenValue,
			Expected: "text of at least 16 characters",
		})
	}
	if peers.Key != "" && peers.KeyID == "" {
		problems = append(problems, schema.Problem{
			File:     name,
			Key:      "peers.key_id",
			Value:    schema.MissingValue,
			Expected: "the id of the key, because a key is given",
		})
	}
	return problems
}
