package daemon

import (
	"time"

	"basilrudder/internal/confsync"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/peer"
)

// Status is what an instance believes and how old each belief is.
type Status struct {
	// Instance and Incarnation name the process.
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// DataCentre the instance stands in.
	DataCentre string `json:"data_centre"`
	// UptimeS is the age of the process in seconds.
	UptimeS float64 `json:"uptime_s"`
	// Node is what it believes of its requests and groups.
	Node node.Status `json:"node"`
	// Config is what it believes of the configuration.
	Config ConfigStatus `json:"config"`
	// Members it believes to live.
	Members MemberStatus `json:"members"`
	// Orders to engines.
	Orders OrderStatus `json:"orders"`
	// Links that are open.
	Links []peer.Peer `json:"links"`
}

// ConfigStatus is the belief about the configuration.
type ConfigStatus struct {
	// Revision in force.
	Revision uint64 `json:"revision"`
	// ConfirmedAgeS is the age of the last confirmation in seconds; -1 for never.
	ConfirmedAgeS float64 `json:"confirmed_age_s"`
	// PlatformAgeS is the age of the platform's last word in seconds; -1 for never.
	PlatformAgeS float64 `json:"platform_age_s"`
	// Reader says whether the instance watches the platform.
	Reader bool `json:"reader"`
	// Stats counts events.
	Stats confsync.Stats `json:"stats"`
}

// MemberStatus is the belief about the fleet.
type MemberStatus struct {
	MemberCounts
	// Live and Leaving name members.
	Live    []membership.Member `json:"live"`
	Leaving []membership.Member `json:"leaving"`
}

// MemberCounts is the belief about the fleet without its names, which a fleet
// of hundreds would make too long for a metric.
type MemberCounts struct {
	// Version grows with each change.
	Version uint64 `json:"version"`
	// Known counts members that live here or elsewhere.
	Known int `json:"known"`
	// LiveCount and LeavingCount count members.
	LiveCount    int `json:"live_count"`
	LeavingCount int `json:"leaving_count"`
	// Confirmed says whether a peer has answered since the start or a pause.
	Confirmed bool `json:"confirmed"`
	// Stats counts events.
	Stats membership.Stats `json:"stats"`
}

// Status returns what the instance believes.
func (d *Daemon) Status(now monotime.Instant) Status {
	view := d.instance.Status(now).View
	return Status{
		Instance:    d.self.Instance,
		Incarnation: d.self.Token,
		DataCentre:  d.cfg.Settings.Instance.DataCentre,
		UptimeS:     time.Duration(now).Seconds(),
		Node:        d.node.Status(now),
		Config:      d.configStatus(now),
		Members: MemberStatus{
			MemberCounts: d.memberCounts(now),
			Live:         view.Live,
			Leaving:      view.Leaving,
		},
		Orders: d.orders.status(now),
		Links:  d.links.Peers(),
	}
}

func (d *Daemon) configStatus(now monotime.Instant) ConfigStatus {
	state := d.instance.Status(now)
	status := ConfigStatus{
		ConfirmedAgeS: ageSeconds(state.ConfirmedAge),
		PlatformAgeS:  ageSeconds(state.PlatformAge),
		Reader:        state.Reader,
		Stats:         state.Conf,
	}
	if cat := d.node.Catalog(); cat != nil {
		status.Revision = cat.Revision
	}
	return status
}

func (d *Daemon) memberCounts(now monotime.Instant) MemberCounts {
	state := d.instance.Status(now)
	return MemberCounts{
		Version:      state.View.Version,
		Known:        state.View.Known,
		LiveCount:    len(state.View.Live),
		LeavingCount: len(state.View.Leaving),
		Confirmed:    state.View.Confirmed,
		Stats:        state.Members,
	}
}

func ageSeconds(age time.Duration) float64 {
	if age == confsync.NeverConfirmed {
		return -1
	}
	return age.Seconds()
}

// StatusNow returns what the instance believes at this moment.
func (d *Daemon) StatusNow() Status {
	return d.Status(monotime.Now())
}
