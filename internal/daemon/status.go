package daemon

import (
	"time"

	"basilrudder/internal/confsync"
	"basilrudder/internal/membership"
	"basilrudder/internal/monotime"
	"basilrudder/internal/node"
	"basilrudder/internal/peer"
)

// Status is the state of an instance as it sees it, with the age of each part.
type Status struct {
	// Instance and Incarnation identify the process.
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	// DataCentre is the data centre in which the instance is located.
	DataCentre string `json:"data_centre"`
	// UptimeS is the age of the process in seconds.
	UptimeS float64 `json:"uptime_s"`
	// Node is the state of the instance's requests and groups.
	Node node.Status `json:"node"`
	// Config is the state of the configuration.
	Config ConfigStatus `json:"config"`
	// Members is the instance's view of the fleet.
	Members MemberStatus `json:"members"`
	// Orders is the state of the orders to engines.
	Orders OrderStatus `json:"orders"`
	// Links lists the open links to peers.
	Links []peer.Peer `json:"links"`
}

// ConfigStatus is the state of the configuration.
type ConfigStatus struct {
	// Revision is the revision in force; 0 if there is none.
	Revision uint64 `json:"revision"`
	// ConfirmedAgeS is the time since the revision was last confirmed in seconds, or -1 if
	// it never was.
	ConfirmedAgeS float64 `json:"confirmed_age_s"`
	// PlatformAgeS is the time since the platform last confirmed the revision, to this
	// instance or to one that it received this from, in seconds; -1 if unknown.
	PlatformAgeS float64 `json:"platform_age_s"`
	// Reader reports whether the instance watches the platform.
	Reader bool `json:"reader"`
	// Stats counts configuration events.
	Stats confsync.Stats `json:"stats"`
}

// MemberStatus is an instance's view of the fleet.
type MemberStatus struct {
	MemberCounts
	// Live and Leaving list the members in these states.
	Live    []membership.Member `json:"live"`
	Leaving []membership.Member `json:"leaving"`
}

// MemberCounts summarizes an instance's view of the fleet without the list of members,
// which would be too long for a metric in a fleet of hundreds.
type MemberCounts struct {
	// Version increases with each change of the view.
	Version uint64 `json:"version"`
	// Known counts the live members and those that are unreachable but assumed to run in
	// another part of the fleet.
	Known int `json:"known"`
	// LiveCount and LeavingCount count the members in these states.
	LiveCount    int `json:"live_count"`
	LeavingCount int `json:"leaving_count"`
	// Confirmed reports whether a peer has answered since the start or the last pause of
	// the process.
	Confirmed bool `json:"confirmed"`
	// Stats counts membership events.
	Stats membership.Stats `json:"stats"`
}

// Status returns the state of the instance at now.
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
		Known:        state.View.MemberCount,
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

// StatusNow returns the current state of the instance.
func (d *Daemon) StatusNow() Status {
	return d.Status(monotime.Now())
}
