package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/daemon"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/tools/child"
)

const (
	pollInterval   = 100 * time.Millisecond
	statusTimeout  = 3 * time.Second
	goneTimeout    = 20 * time.Second
	startsAtOnce   = 12
	callersPort    = 7001
	peersPort      = 7002
	adminPort      = 7003
	hostsPerSubnet = 250
)

// fleetConfig says what to start.
type fleetConfig struct {
	Shape   shape
	Daemons int
	// Procs is GOMAXPROCS of each daemon.
	Procs int
	// Accounting takes the lines of all daemons; nil drops them.
	Accounting io.Writer
	// Settings are further tables of the settings of each daemon.
	Settings string
}

// fleet is a set of daemon processes and what is around them.
type fleet struct {
	cfg      fleetConfig
	standins *standins
	dir      string
	binary   string
	subnet   int
	starter  *child.Starter
	admin    *http.Client

	mu      sync.Mutex
	daemons []*member
	slots   int
}

// member is one daemon. Its process changes when it is restarted.
type member struct {
	id       string
	dc       string
	host     string
	settings string

	mu      sync.Mutex
	process *process
}

func (m *member) proc() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

func (m *member) setProc(p *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = p
}

func (m *member) address(port int) string {
	return fmt.Sprintf("%s:%d", m.host, port)
}

// startFleet starts everything; the daemons may not be ready yet. Close must be
// called also after an error.
func startFleet(ctx context.Context, cfg fleetConfig) (*fleet, error) {
	f := &fleet{
		cfg:     cfg,
		subnet:  1 + os.Getpid()%200,
		starter: child.NewStarter(),
		admin:   &http.Client{Timeout: statusTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	var err error
	if f.dir, err = os.MkdirTemp("", "fleet-"); err != nil {
		return f, err
	}
	if f.binary, err = buildDaemon(ctx, f.dir); err != nil {
		return f, err
	}
	if f.standins, err = startStandins(cfg.Shape.generate()); err != nil {
		return f, err
	}
	for range cfg.Daemons {
		f.newMember()
	}
	f.list(f.members())
	return f, f.startAll(ctx)
}

func (f *fleet) startAll(ctx context.Context) error {
	group, _ := errgroup.WithContext(ctx)
	group.SetLimit(startsAtOnce)
	for _, m := range f.members() {
		group.Go(func() error { return f.start(m) })
	}
	return group.Wait()
}

// newMember adds a daemon that is not started yet.
func (f *fleet) newMember() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.slots
	f.slots++
	m := &member{
		id:       fmt.Sprintf("entry-%03d", i),
		dc:       dataCentreName(i),
		host:     fmt.Sprintf("127.%d.%d.%d", f.subnet, i/hostsPerSubnet, 1+i%hostsPerSubnet),
		settings: filepath.Join(f.dir, fmt.Sprintf("entry-%03d.toml", i)),
	}
	f.daemons = append(f.daemons, m)
	return m
}

// remove forgets a daemon that has ended.
func (f *fleet) remove(gone *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.daemons[:0:0]
	for _, m := range f.daemons {
		if m != gone {
			kept = append(kept, m)
		}
	}
	f.daemons = kept
}

func (f *fleet) members() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*member(nil), f.daemons...)
}

const settingsText = `[instance]
id = %q
data_centre = %q
[listen]
callers = %q
peers = %q
admin = %q
[platform]
address = %q
`

// start starts the process of a daemon.
func (f *fleet) start(m *member) error {
	text := fmt.Sprintf(settingsText, m.id, m.dc,
		m.address(callersPort), m.address(peersPort), m.address(adminPort), f.standins.address) + f.cfg.Settings
	const private = 0o600
	if err := os.WriteFile(m.settings, []byte(text), private); err != nil {
		return err
	}
	p, err := startProcess(f.starter, f.binary, m.settings, f.cfg.Accounting, f.cfg.Procs)
	if err != nil {
		return err
	}
	m.setProc(p)
	return nil
}

// list publishes the instance list.
func (f *fleet) list(members []*member) {
	instances := make([]platformapi.Instance, 0, len(members))
	for _, m := range members {
		instances = append(instances, platformapi.Instance{
			ID:            m.id,
			DataCentre:    m.dc,
			CallerAddress: m.address(callersPort),
			PeerAddress:   m.address(peersPort),
			State:         platformapi.InstanceStateLive,
		})
	}
	f.standins.platform.SetInstances(instances)
}

func (f *fleet) get(ctx context.Context, m *member, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(adminPort)+path, nil)
	if err != nil {
		return err
	}
	resp, err := f.admin.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (f *fleet) status(ctx context.Context, m *member) (*daemon.Status, error) {
	status := new(daemon.Status)
	return status, f.get(ctx, m, "/v1/status", status)
}

// await polls the members until each of them passes, and returns the time it
// took.
func (f *fleet) await(ctx context.Context, members []*member, passes func(*daemon.Status) bool) (time.Duration, error) {
	begin := time.Now()
	waiting := members
	for len(waiting) > 0 {
		waiting = f.failing(ctx, waiting, passes)
		select {
		case <-ctx.Done():
			return 0, errors.Wrapf(ctx.Err(), "%d daemons (%s, ...) are not as awaited", len(waiting), waiting[0].id)
		case <-time.After(pollInterval):
		}
	}
	return time.Since(begin), nil
}

func (f *fleet) failing(ctx context.Context, members []*member, passes func(*daemon.Status) bool) []*member {
	var mu sync.Mutex
	var out []*member
	var group errgroup.Group
	group.SetLimit(startsAtOnce)
	for _, m := range members {
		group.Go(func() error {
			status, err := f.status(ctx, m)
			if err == nil && passes(status) {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, m)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// ready waits until every daemon has a configuration and sees all the others.
func (f *fleet) ready(ctx context.Context) (time.Duration, error) {
	members := f.members()
	return f.await(ctx, members, func(s *daemon.Status) bool {
		return s.Config.Revision > 0 && len(s.Members.Live) == len(members)
	})
}

// close ends every process this fleet started and removes its files.
func (f *fleet) close() {
	members := f.members()
	for _, m := range members {
		if p := m.proc(); p != nil {
			_ = p.signal(syscall.SIGKILL)
		}
	}
	for _, m := range members {
		if p := m.proc(); p != nil {
			<-p.done
		}
	}
	f.starter.Stop()
	if f.standins != nil {
		f.standins.close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// describe tells what each daemon believes of the others, for an error.
func (f *fleet) describe() string {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var out strings.Builder
	for _, m := range f.members() {
		status, err := f.status(ctx, m)
		if err != nil {
			fmt.Fprintf(&out, "%s: %v; log %.600q\n", m.id, err, m.proc().log.complaints())
			continue
		}
		fmt.Fprintf(&out, "%s %s: revision %d, known %d, live", m.id, status.Incarnation, status.Config.Revision, status.Members.Known)
		for _, live := range status.Members.Live {
			fmt.Fprintf(&out, " %s/%s/%d/%s", live.ID, live.Incarnation, live.Epoch, live.State)
		}
		fmt.Fprintf(&out, "; links")
		for _, link := range status.Links {
			fmt.Fprintf(&out, " %s", link.ID)
		}
		fmt.Fprintln(&out)
	}
	return out.String()
}
