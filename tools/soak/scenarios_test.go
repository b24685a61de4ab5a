package main

import "testing"

// Guards against a stream that goes on at another version at an instance that stood still when the version joined.
func TestAnInstanceThatStoodStillMixesNoVersions(t *testing.T) { testScenarios(t, standstills) }

// Guards against requests that an instance passes on although it ends before their answers.
func TestAPlannedStopCutsNoRequestThatItPassedOn(t *testing.T) { testScenarios(t, plannedStops) }

func testScenarios(t *testing.T, list []scenario) {
	binary, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range list {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			r, err := s.run(binary, t.TempDir(), 1)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			if !r.kept() || r.concerned == 0 {
				t.Error("promises are broken, or nothing was played")
			}
		})
	}
}
