package main

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
)

// restartAll ends each daemon with SIGTERM, one after the other, and starts it
// again under the same id and addresses.
func (r *faultRun) restartAll(ctx context.Context) error {
	for _, m := range r.fleet.members() {
		r.count++
		if err := r.terminate(m); err != nil {
			return err
		}
		if err := r.fleet.start(m); err != nil {
			return err
		}
		if err := r.settled(ctx); err != nil {
			return err
		}
	}
	return nil
}

// replaceAll starts a new daemon for each, then ends the old one.
func (r *faultRun) replaceAll(ctx context.Context) error {
	for _, old := range r.fleet.members() {
		r.count++
		fresh := r.fleet.newMember()
		if err := r.fleet.start(fresh); err != nil {
			return err
		}
		r.fleet.list(r.fleet.members())
		if err := r.settled(ctx); err != nil {
			return err
		}
		if err := r.terminate(old); err != nil {
			return err
		}
		r.fleet.remove(old)
		r.fleet.list(r.fleet.members())
	}
	return r.settled(ctx)
}

func (r *faultRun) terminate(m *member) error {
	p := m.proc()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !p.ended(drainTimeout) {
		return errors.Errorf("%s did not end within %v; log: %.1000q", m.id, drainTimeout, p.log.complaints())
	}
	return nil
}

func (r *faultRun) victim() *member {
	members := r.fleet.members()
	return members[r.rng.IntN(len(members))]
}

func (r *faultRun) pause(ctx context.Context, least, most time.Duration) error {
	return sleep(ctx, least+time.Duration(r.rng.Int64N(int64(most-least))))
}

// kills kills daemons, two in close order now and then, and starts them again.
func (r *faultRun) kills(ctx context.Context) error {
	end := time.Now().Add(r.cmd.For)
	for time.Now().Before(end) {
		if err := r.killOne(ctx, r.victim()); err != nil {
			return err
		}
	}
	return nil
}

func (r *faultRun) killOne(ctx context.Context, m *member) error {
	r.count++
	m.proc().kill()
	if err := r.pause(ctx, 100*time.Millisecond, 4*time.Second); err != nil {
		return err
	}
	if err := r.fleet.start(m); err != nil {
		return err
	}
	return r.pause(ctx, 500*time.Millisecond, 2*time.Second)
}

// stops stops daemons for a while and lets them go on.
func (r *faultRun) stops(ctx context.Context) error {
	end := time.Now().Add(r.cmd.For)
	for time.Now().Before(end) {
		if err := r.stopOne(ctx, r.victim()); err != nil {
			return err
		}
	}
	return nil
}

func (r *faultRun) stopOne(ctx context.Context, m *member) error {
	r.count++
	p := m.proc()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := r.pause(ctx, 200*time.Millisecond, 7*time.Second); err != nil {
		return err
	}
	if err := p.signal(syscall.SIGCONT); err != nil {
		return err
	}
	return r.pause(ctx, 200*time.Millisecond, 2*time.Second)
}

// mixed kills one daemon while another one is stopped.
func (r *faultRun) mixed(ctx context.Context) error {
	end := time.Now().Add(r.cmd.For)
	for time.Now().Before(end) {
		stopped, killed := r.victim(), r.victim()
		if stopped == killed {
			continue
		}
		r.count++
		p := stopped.proc()
		if err := p.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		if err := r.killOne(ctx, killed); err != nil {
			return err
		}
		if err := p.signal(syscall.SIGCONT); err != nil {
			return err
		}
		if err := r.pause(ctx, 200*time.Millisecond, 2*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// withdrawals withdraws a few servers in turn, the later ones while a daemon
// sleeps through the change.
func (r *faultRun) withdrawals(ctx context.Context) error {
	const count = 6
	for i := range count {
		r.count++
		var err error
		if i%2 == 0 {
			err = r.withdraw(ctx, i, nil)
		} else {
			err = r.withdraw(ctx, i, r.victim().proc())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// withdraw withdraws a server and puts down when it last started a request. The
// process, if any, sleeps from before the publication until after it.
func (r *faultRun) withdraw(ctx context.Context, index int, sleeper *process) error {
	const (
		before = 300 * time.Millisecond
		asleep = 5 * time.Second
		awake  = 3 * time.Second
	)
	if sleeper != nil {
		if err := sleeper.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		if err := sleep(ctx, before); err != nil {
			return err
		}
	}
	spec := &r.fleet.standins.inventory.Servers[index]
	spec.Withdrawn = true
	published := monotime.Now()
	if _, err := r.fleet.standins.publish(); err != nil {
		return err
	}
	if err := sleep(ctx, asleep); err != nil {
		return err
	}
	if sleeper != nil {
		if err := sleeper.signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	if err := sleep(ctx, awake); err != nil {
		return err
	}
	r.last = append(r.last, float64(r.lastStart(index).Sub(published))/float64(time.Millisecond))
	spec.Withdrawn = false
	_, err := r.fleet.standins.publish()
	return err
}

// lastStart returns when a server last started a request.
func (r *faultRun) lastStart(index int) monotime.Instant {
	spec := &r.fleet.standins.inventory.Servers[index]
	var last monotime.Instant
	for _, e := range spec.Engines {
		for _, run := range r.fleet.standins.engines[spec.Name].Engine(e.Name).Runs() {
			last = max(last, run.Accepted)
		}
	}
	return last
}
