package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/tools/child"
)

const daemonPackage = "basilrudder/cmd/basilrudderd"

// buildDaemon builds basilrudderd into dir and returns its path.
func buildDaemon(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "basilrudderd")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", path, daemonPackage)
	cmd.Stderr = os.Stderr
	return path, wrap(cmd.Run(), "build the daemon")
}

// process is one running basilrudderd.
type process struct {
	cmd  *exec.Cmd
	log  *logReader
	done chan struct{}
}

// startProcess starts a daemon. It is killed when this program ends, however it
// ends.
func startProcess(s *child.Starter, binary, settings string, accounting io.Writer, procs int) (*process, error) {
	p := &process{
		cmd:  exec.Command(binary, settings),
		log:  newLogReader(),
		done: make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(procs))
	p.cmd.Stdout = accounting
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.Start(p.cmd); err != nil {
		return nil, errors.Wrap(err, "start a daemon")
	}
	go func() {
		defer close(p.done)
		p.log.read(stderr)
		_ = p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) pid() int {
	return p.cmd.Process.Pid
}

func (p *process) signal(sig syscall.Signal) error {
	return p.cmd.Process.Signal(sig)
}

// kill ends the process, stopped or not, and waits until it has.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// ended waits for the process to end by itself.
func (p *process) ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// logReader reads the JSON lines of a daemon and keeps when each revision came
// into force and the latest complaints.
type logReader struct {
	mu      sync.Mutex
	inForce map[int]time.Time
	trouble []string
}

const keptTrouble = 20

func newLogReader() *logReader {
	return &logReader{inForce: make(map[int]time.Time)}
}

// logLine holds the members that are looked at.
type logLine struct {
	Level    string  `json:"level"`
	TS       float64 `json:"ts"`
	Msg      string  `json:"msg"`
	Revision int     `json:"revision"`
}

const msgInForce = "configuration in force"

func (r *logReader) read(in io.Reader) {
	const longestLine = 1 << 20
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		r.take(scanner.Bytes())
	}
	_, _ = io.Copy(io.Discard, in)
}

func (r *logReader) take(text []byte) {
	var line logLine
	err := json.Unmarshal(text, &line)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil && line.Msg == msgInForce:
		r.inForce[line.Revision] = time.UnixMicro(int64(line.TS * float64(time.Second/time.Microsecond)))
	case err != nil || line.Level == "warn" || line.Level == "error":
		if len(r.trouble) < keptTrouble {
			r.trouble = append(r.trouble, string(text))
		}
	}
}

// inForceAt returns when a revision, or a later one, came into force.
func (r *logReader) inForceAt(revision int) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	for known, at := range r.inForce {
		if known >= revision && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

func (r *logReader) complaints() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.trouble...)
}

// usage is what the kernel knows of a process.
type usage struct {
	// CPU time used.
	CPU time.Duration
	// RSS is resident memory in bytes, and PeakRSS the most it ever was.
	RSS, PeakRSS uint64
}

func (p *process) usage() (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid()))
	if err != nil {
		return u, err
	}
	if u, err = parseStat(stat); err != nil {
		return u, errors.Wrap(err, "read /proc/pid/stat")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return u, err
	}
	u.PeakRSS, err = peakResident(status)
	return u, wrap(err, "read /proc/pid/status")
}
