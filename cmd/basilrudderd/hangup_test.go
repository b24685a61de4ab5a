package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// asProgram is set in the environment of the processes that run main in place of the tests.
const asProgram = "BASILRUDDERD_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against a SIGHUP that ends the process while it starts.
func TestASIGHUPDuringTheStartIsSurvived(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(os.Args[0], "relay", "--check", pipe)
	process.Env = append(os.Environ(), asProgram+"=1")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	// This returns once the process reads its settings, and invalid ones end it.
	settings, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_ = settings.Close()
	_ = process.Wait()
	if code := process.ProcessState.ExitCode(); code != exitBadInput {
		t.Errorf("ended by %v, not by its settings", process.ProcessState)
	}
}
