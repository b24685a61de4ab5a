package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// withoutSeeds is the beginning of a settings file, and valid by itself.
const (
	withoutSeeds = `[instance]
id = "a"
data_centre = "z"

[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
metrics = "127.0.0.1:5"

[store]
address = "127.0.0.1:6"
`
	wholeSettings = withoutSeeds + `
[peers]
seeds = ["127.0.0.1:7", "127.0.0.1:8"]

[drain]
grace_s = 20
`
)

// settingsFile returns a command whose settings write replaces.
func settingsFile(t *testing.T) (c *relayCommand, write func(string)) {
	c = &relayCommand{Settings: filepath.Join(t.TempDir(), "settings.toml")}
	return c, func(text string) {
		t.Helper()
		if err := os.WriteFile(c.Settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against seeds that are lost as the settings are read while their file is being written.
func TestAPartOfTheSettingsLosesNoSeeds(t *testing.T) {
	c, write := settingsFile(t)
	lost := 0
	for cut := range len(wholeSettings) + 1 {
		for _, text := range []string{wholeSettings, wholeSettings[:cut]} {
			write(text)
			s, err := c.reload()
			if err == nil && !slices.Equal(s.Peers.Seeds, []string{"127.0.0.1:7", "127.0.0.1:8"}) {
				lost++
			}
			if err != nil && text == wholeSettings {
				t.Fatal(err)
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d parts lost seeds", lost, len(wholeSettings))
	}
}

// Guards against seeds that can't be removed while an instance runs.
func TestSettingsWithoutSeedsCountOnceReadAgain(t *testing.T) {
	c, write := settingsFile(t)
	write(withoutSeeds)
	if _, err := c.reload(); err == nil {
		t.Error("the first read counts")
	}
	if _, err := c.reload(); err != nil {
		t.Error(err)
	}
}
