package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/platform/wire"
)

const (
	// grace between SIGTERM and SIGKILL, as instances are told unless they have their own.
	grace = 8 * time.Second
	// endMargin is how much later than that a process may be seen to end.
	endMargin = 4 * time.Second
	fileMode  = 0o600
	// seeds is the number of instances that each one is told of.
	seeds = 3
)

// instance is one relaying process with its addresses and proxies.
type instance struct {
	name     string
	settings string
	// grace is that of the settings, descriptors the number it may open (0 for the limit of the
	// process), and memory what it may use in MB (0 for unknown).
	grace               time.Duration
	descriptors, memory int
	address             map[string]string // by the name in the settings
	callers             *proxy
	store               *proxy
	log                 *os.File
	// ending is held by the fault that ends and restarts the process.
	ending sync.Mutex

	mu      sync.Mutex
	process *process
	// active is the number of faults on the instance now, disturbances that of
	// all so far.
	active, disturbances int
	// calmAt is when the last fault on it ended.
	calmAt time.Time
}

// process is one run of an instance.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (f *fleet) newInstance(n int) (*instance, error) {
	i := &instance{name: fmt.Sprintf("i%d", n), grace: grace, address: make(map[string]string)}
	i.settings = filepath.Join(f.dir, i.name+".toml")
	for _, part := range []string{"callers", "ready", "directory", "peers", "metrics"} {
		address, err := f.ports.next()
		if err != nil {
			return nil, err
		}
		i.address[part] = address
	}
	var err error
	if i.callers, err = newProxy(i.address["callers"]); err != nil {
		return nil, err
	}
	if i.store, err = newProxy(f.storeAt); err != nil {
		return nil, err
	}
	i.log, err = os.Create(filepath.Join(f.dir, i.name+".log"))
	return i, err
}

func (f *fleet) writeSettings(i *instance, level string) error {
	var out strings.Builder
	fmt.Fprintf(&out, "[instance]\nid = %q\ndata_centre = \"here\"\ndescriptors = %d\nmemory_mb = %d\n[listen]\n", i.name, i.descriptors, i.memory)
	for part, address := range i.address {
		fmt.Fprintf(&out, "%s = %q\n", part, address)
	}
	fmt.Fprintf(&out, "[store]\naddress = %q\n[peers]\nseeds = [", i.store.address())
	for _, seed := range f.instances[:min(seeds, len(f.instances))] {
		fmt.Fprintf(&out, "%q, ", seed.address["peers"])
	}
	fmt.Fprintf(&out, "]\n[drain]\ngrace_s = %g\n[log]\nlevel = %q\n", i.grace.Seconds(), level)
	// Written beside and renamed: an instance reads a whole file at any moment.
	beside := i.settings + ".new"
	if err := os.WriteFile(beside, []byte(out.String()), fileMode); err != nil {
		return err
	}
	return os.Rename(beside, i.settings)
}

// start starts the process of an instance. It is killed when this program ends,
// however it ends.
func (f *fleet) start(i *instance) error {
	p := &process{cmd: exec.Command(f.binary, "relay", i.settings), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = i.log, i.log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := f.starter.Start(p.cmd); err != nil {
		return errors.Wrap(err, "start an instance")
	}
	go func() {
		_ = p.cmd.Wait() // whether it was meant to end is asked where that is known
		close(p.done)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process = p
	return nil
}

// signal sends a signal to the process that runs now.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.process.cmd.Process.Signal(s) // one that has ended needs none
}

// ended waits for the end of a process.
func (p *process) ended(within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// disturb says that something is done to an instance until the returned function
// is called.
func (i *instance) disturb() func() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbances++
	i.active++
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.active--
		i.calmAt = time.Now()
	}
}

// inTouch reports whether nothing has been done to an instance for contactTime.
func (i *instance) inTouch() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.active == 0 && time.Since(i.calmAt) >= contactTime
}

// disturbed tells how often an instance was disturbed, and whether it is not now.
func (i *instance) disturbed() (times int, calm bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.disturbances, i.active == 0
}

// ready reports whether an instance says that it can serve.
func (i *instance) ready() bool {
	client := http.Client{Timeout: directoryWait}
	answer, err := client.Get(fmt.Sprintf("http://%s%s", i.address["ready"], wire.ReadyPath))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
