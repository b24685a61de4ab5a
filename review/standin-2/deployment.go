package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment.
const (
	heartbeat  = 1200 * time.Millisecond
	drainTime  = 2000 * time.Millisecond
	configTime = 2000 * time.Millisecond
	graceTime  = 8 * time.Second
	zone       = "zone-a"
	region     = "region-a"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	hostName   = "ficu95.example"
)

// deployment is all that a case runs.
type deployment struct {
	record  *record
	binary  string
	dir     string
	trouble bool
	// born has servers say when they started.
	born  bool
	store *store
	runs  *runs
	// portsTried is the number of ports taken from the block so far.
	portsTried int

	instances []*instance
	servers   []*serverProcess
}

// newDeployment starts a store. TROUBLE=0 in the environment leaves the disruption out.
func newDeployment(binary, recordFile string) (*deployment, error) {
	record, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	binary, err = filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: st, runs: newRuns()}
	record.printf("disruption: %v", d.trouble)
	return d, nil
}

// close ends all processes that the case has started.
func (d *deployment) close() {
	for _, s := range d.servers {
		s.kill()
	}
	for _, i := range d.instances {
		i.kill()
	}
	_ = os.RemoveAll(d.dir)
}

// runs holds what servers said of runs, by the id of the request.
type runs struct {
	mu   sync.Mutex
	said map[string][]line
}

func newRuns() *runs { return &runs{said: make(map[string][]line)} }

func (r *runs) add(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.said[l.ID] = append(r.said[l.ID], l)
}

// of returns what servers said of a request.
func (r *runs) of(id string) []line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]line(nil), r.said[id]...)
}

// count returns how many servers said that of a request.
func (r *runs) count(id, what string) (n int) {
	for _, l := range r.of(id) {
		if l.What == what {
			n++
		}
	}
	return n
}

// Ports for listeners are below those that the system gives to outgoing connections, which could take
// one before its process listens. Cases that run at once take them from different blocks.
const (
	firstPort     = 12000
	portsPerBlock = 64
	portBlocks    = 280
)

// freeAddress returns a loopback address at which nothing listens, and none twice.
func (d *deployment) freeAddress() (string, error) {
	for d.portsTried < portsPerBlock {
		port := firstPort + os.Getpid()%portBlocks*portsPerBlock + d.portsTried
		d.portsTried++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port")
}

// serverProcess is a server that runs as a process of its own and is listed in the store.
type serverProcess struct {
	d       *deployment
	id      string
	service string
	address string
	born    int64
	process *exec.Cmd
	ended   chan struct{}

	mu    sync.Mutex
	state string // empty once it is not listed any more
	seqNo int
}

// startServer starts a server and lists it in the store.
func (d *deployment) startServer(id, service string, flags ...string) (*serverProcess, error) {
	address, err := d.freeAddress()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &serverProcess{d: d, id: id, service: service, address: address, ended: make(chan struct{}), state: "ready"}
	if d.born {
		s.born = time.Now().UnixMilli()
	}
	args := append([]string{"server", "-listen", address, "-id", id, "-born", strconv.FormatInt(s.born, 10)}, flags...)
	s.process = exec.Command(self, args...)
	s.process.Stderr = os.Stderr
	out, err := s.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.process.Start(); err != nil {
		return nil, err
	}
	ready := make(chan struct{})
	go s.read(out, ready)
	select {
	case <-ready:
	case <-time.After(5 * time.Second):
		s.kill()
		return nil, fmt.Errorf("server %s does not start", id)
	}
	d.servers = append(d.servers, s)
	s.write()
	go s.beat()
	return s, nil
}

// read collects what the server says until it ends.
func (s *serverProcess) read(out io.Reader, ready chan<- struct{}) {
	defer close(s.ended)
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		var l line
		if json.Unmarshal(scanner.Bytes(), &l) != nil {
			continue // the rest of a line of a killed process
		}
		if l.What == "ready" {
			close(ready)
			continue
		}
		s.d.runs.add(l)
		s.d.record.printf("server %s: %s %s %s", l.Server, l.What, l.ID, l.Note)
	}
	_ = s.process.Wait()
}

// beat writes the server's entry as long as it runs, and removes it three heartbeats after its end.
func (s *serverProcess) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.write()
		case <-s.ended:
			time.Sleep(3 * heartbeat)
			s.setState("")
			return
		}
	}
}

func (s *serverProcess) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.write()
}

// write writes or removes the server's entry.
func (s *serverProcess) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		s.d.store.remove("servers/" + s.id)
		return
	}
	s.seqNo++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": "v1", "batchSlots": slotsPerServer, "state": s.state,
		"coldLeftMs": 0, "seqNo": s.seqNo, "phase": "mixed",
		"modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []string{}}},
	}
	if s.born != 0 {
		entry["born"] = s.born
	}
	s.d.store.put("servers/"+s.id, entry)
}

// kill ends the process of the server.
func (s *serverProcess) kill() {
	_ = s.process.Process.Kill() // fails only if it has ended
	<-s.ended
}

// instance is a relaying instance.
type instance struct {
	d        *deployment
	name     string
	settings string
	callers  string
	ready    string
	resolve  string
	peers    string
	process  *exec.Cmd
	log      *os.File
	ended    chan struct{}
}

// startInstances starts relaying instances by the command of the deploy file, with the settings that
// the template gives for a small deployment.
func (d *deployment) startInstances(count int) error {
	for n := range count {
		i := &instance{d: d, name: fmt.Sprintf("edge-a-%d", n+1)}
		for _, address := range []*string{&i.callers, &i.ready, &i.resolve, &i.peers} {
			var err error
			if *address, err = d.freeAddress(); err != nil {
				return err
			}
		}
		d.instances = append(d.instances, i)
	}
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range d.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (i *instance) start() error {
	metrics, err := i.d.freeAddress()
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range i.d.instances[:min(3, len(i.d.instances))] {
		seeds = append(seeds, strconv.Quote(other.peers))
	}
	text := fmt.Sprintf(`[instance]
id = %q
data_centre = %q
processor = 0.4
descriptors = 4100
memory_mb = 284
link_mbps = 1000.0

[listen]
callers = %q
ready = %q
directory = %q
peers = %q
metrics = %q

[store]
address = %q

[peers]
seeds = [%s]

[drain]
grace_s = 8

[placement]
large_fleet_instances = 17
calibrated_pauses = false

[retries]
ratio = 0.2
window_s = 10
burst = 54

[[places]]
data_centre = %q
region = %q
`, i.name, zone, i.callers, i.ready, i.resolve, i.peers, metrics, i.d.store.address, strings.Join(seeds, ","), zone, region)
	i.settings = filepath.Join(i.d.dir, i.name+".toml")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	return i.launch()
}

// launch starts the process with the settings that are there.
func (i *instance) launch() error {
	log, err := os.OpenFile(filepath.Join(i.d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.log, i.ended = log, make(chan struct{})
	i.process = exec.Command(i.d.binary, "relay")
	i.process.Env = []string{"BASILRUDDER_SETTINGS=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + i.d.dir}
	i.process.Stdout, i.process.Stderr = log, log
	if err := i.process.Start(); err != nil {
		return err
	}
	process, ended := i.process, i.ended
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (i *instance) kill() {
	if i.process == nil || i.process.Process == nil {
		return
	}
	_ = i.process.Process.Kill()
	<-i.ended
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + i.ready + "/basilrudder/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", i.name)
}
