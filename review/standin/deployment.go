package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and sizes of the small deployments on the users' sheets.
const (
	heartbeat = 1200 * time.Millisecond
	graceS    = 8
	memoryMB  = 284
)

// deployment is a store, instances and servers on loopback addresses.
type deployment struct {
	*record
	root   string // of the repository
	dir    string // temporary
	store  *store
	relays []*relayProcess

	mu      sync.Mutex
	servers map[string]*serverProcess
	all     []*exec.Cmd
	runs    map[string][]run
}

// run is one run of a request at a server.
type run struct {
	server, event string
	at            time.Time
}

// relayProcess is one instance, with an address of its own as each machine has.
type relayProcess struct {
	name, ip, settings string
	port               map[string]string
	cmd                *exec.Cmd
	done               chan struct{}
}

// serverProcess is one incarnation of a server.
type serverProcess struct {
	id, service, zone, address string
	slots                      int
	args                       []string
	cmd                        *exec.Cmd
	in                         io.WriteCloser
	done                       chan struct{}
	seq                        int
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

func newDeployment(root, recordPath string) (*deployment, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, root: root, dir: dir, servers: make(map[string]*serverProcess), runs: make(map[string][]run)}
	if d.store, err = startStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	go d.heartbeats()
	return d, nil
}

// freePort returns a port of an address that is free now.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

// prepareRelays chooses the addresses of n instances and writes their settings, as the
// platform fills in platform/settings.toml.tmpl.
func (d *deployment) prepareRelays(n int, retryBurst int) error {
	base := 20 + os.Getpid()%200
	for i := range n {
		r := &relayProcess{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.77.%d.%d", base, 10+i), port: make(map[string]string)}
		for _, part := range []string{"callers", "ready", "directory", "peers", "metrics"} {
			port, err := freePort(r.ip)
			if err != nil {
				return err
			}
			r.port[part] = r.ip + ":" + port
		}
		d.relays = append(d.relays, r)
	}
	var seeds []string
	for _, r := range d.relays[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%q", r.port["peers"]))
	}
	for i, r := range d.relays {
		var out strings.Builder
		fmt.Fprintf(&out, "[instance]\nid = %q\ndata_centre = %q\nprocessor = 0.4\nlink_mbps = 1000.0\n\n[listen]\n", r.name, zones[i%len(zones)])
		for part, address := range r.port {
			fmt.Fprintf(&out, "%s = %q\n", part, address)
		}
		fmt.Fprintf(&out, "\n[store]\naddress = %q\n\n[peers]\nseeds = [%s]\n\n[drain]\ngrace_s = %d\n\n", d.store.address, strings.Join(seeds, ","), graceS)
		fmt.Fprintf(&out, "[placement]\nlarge_fleet_instances = 17\ncalibrated_pauses = false\n\n[retries]\nratio = 0.2\nwindow_s = 10\nburst = %d\n", retryBurst)
		for _, z := range zones {
			fmt.Fprintf(&out, "\n[[places]]\ndata_centre = %q\nregion = \"region\"\n", z)
		}
		r.settings = filepath.Join(d.dir, r.name+".toml")
		if err := os.WriteFile(r.settings, []byte(out.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a command that ends with this program.
func (d *deployment) start(cmd *exec.Cmd) (chan struct{}, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.all = append(d.all, cmd)
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		cmd.Wait()
		close(done)
	}()
	return done, nil
}

// startRelay starts an instance with the command of the deploy file.
func (d *deployment) startRelay(r *relayProcess) error {
	cmd := exec.Command(filepath.Join(d.root, "target", "basilrudderd"), "relay")
	cmd.Dir = d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "BASILRUDDER_SETTINGS=" + r.settings, "GOMAXPROCS=1"}
	log, err := os.OpenFile(filepath.Join(d.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	r.cmd = cmd
	r.done, err = d.start(cmd)
	d.tell("platform: started %s", r.name)
	return err
}

// startRelays starts all instances and waits until all are ready.
func (d *deployment) startRelays() error {
	for _, r := range d.relays {
		if err := d.startRelay(r); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, r := range d.relays {
		for !r.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *relayProcess) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.port["ready"] + "/basilrudder/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serverEvent is a line by which a server reports what it does.
type serverEvent struct {
	ID    string `json:"id"`
	Event string `json:"event"`
}

// startServer starts an incarnation and registers it.
func (d *deployment) startServer(s *serverProcess) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s.cmd = exec.Command(self, append([]string{"server", s.address, s.id, fmt.Sprint(s.slots)}, s.args...)...)
	s.cmd.Stderr = os.Stderr
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if s.in, err = s.cmd.StdinPipe(); err != nil {
		return err
	}
	if s.done, err = d.start(s.cmd); err != nil {
		return err
	}
	reader := bufio.NewReader(out)
	if line, err := reader.ReadString('\n'); err != nil {
		return fmt.Errorf("server %s did not start: %q %v", s.id, line, err)
	}
	go d.collect(s, reader)
	d.mu.Lock()
	d.servers[s.id] = s
	d.mu.Unlock()
	d.publish(s, "ready")
	d.tell("server %s of %s starts", s.id, s.service)
	return nil
}

// collect reads what a server reports.
func (d *deployment) collect(s *serverProcess, lines *bufio.Reader) {
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var e serverEvent
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		d.tell("server %s: %s %s", s.id, e.Event, e.ID)
		d.mu.Lock()
		d.runs[e.ID] = append(d.runs[e.ID], run{s.id, e.Event, time.Now()})
		d.mu.Unlock()
	}
}

// runsOf returns how often servers began to work on a request.
func (d *deployment) runsOf(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.runs[id] {
		if r.event == "runs" {
			n++
		}
	}
	return n
}

func (d *deployment) publish(s *serverProcess, state string) {
	s.seq++
	d.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "batchSlots": s.slots,
		"state": state, "coldLeftMs": 0, "seqNo": s.seq,
	})
}

// heartbeats has each server that runs write its entry again.
func (d *deployment) heartbeats() {
	for range time.Tick(heartbeat) {
		d.mu.Lock()
		var live []*serverProcess
		for _, s := range d.servers {
			live = append(live, s)
		}
		d.mu.Unlock()
		for _, s := range live {
			d.publish(s, "ready")
		}
	}
}

// crash kills a server. It sends nothing; its entry is removed after three heartbeats.
func (d *deployment) crash(s *serverProcess) {
	d.mu.Lock()
	delete(d.servers, s.id)
	d.mu.Unlock()
	s.cmd.Process.Kill()
	<-s.done
	d.tell("server %s crashes", s.id)
	time.AfterFunc(3*heartbeat, func() { d.store.remove("servers/" + s.id) })
}

// saveLogs copies the lines of the instances' logs that contain one of the words into the
// record.
func (d *deployment) saveLogs(words ...string) {
	for _, r := range d.relays {
		data, _ := os.ReadFile(filepath.Join(d.dir, r.name+".log"))
		for line := range bytes.Lines(data) {
			for _, word := range words {
				if bytes.Contains(line, []byte(word)) {
					d.tell("log of %s: %s", r.name, bytes.TrimSpace(line))
					break
				}
			}
		}
	}
}

// close ends all processes that were started and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	all := d.all
	d.mu.Unlock()
	for _, cmd := range all {
		cmd.Process.Kill()
	}
	d.record.close()
	os.RemoveAll(d.dir)
}
