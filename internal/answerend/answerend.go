// Package answerend decides whether an answer is whole that ended with its connection, without
// a mark of its end. A process that is killed ends all its connections and refuses new ones; a
// whole answer ends one connection.
package answerend

// Siblings are the other connections to the server of an answer, a short time after its end.
type Siblings struct {
	Open, Ended int
}

// MostOpen reports whether there are any and at least half of them are open. The ends of some of
// a killed process's connections arrive late.
func (s Siblings) MostOpen() bool { return s.Open > 0 && s.Open >= s.Ended }

// Probe is what an attempt to open a new connection to the server has shown.
type Probe string

const (
	// NotProbed means that no connection was attempted, for one that was not needed or
	// allowed.
	NotProbed Probe = ""
	// Accepted means that the connection was accepted, and no reply awaited.
	Accepted Probe = "accepted"
	// Identified means that the server itself replied on it.
	Identified Probe = "accepted by the server"
	// Unidentified means that it was accepted, by the server or by something in front of it,
	// and got no reply of the server in time.
	Unidentified Probe = "accepted without a reply of the server"
	// Replaced means that another server replied on it.
	Replaced Probe = "accepted by another server"
	// Dropped means that it was accepted and ended without a reply.
	Dropped Probe = "accepted and dropped"
	Refused Probe = "refused"
	// Unconfirmed means that it was refused, and that no other instance could say whether
	// the server refuses it too.
	Unconfirmed Probe = "refused without confirmation"
	// Unanswered means that the server neither accepted nor refused in time.
	Unanswered Probe = "unanswered"
	// Interrupted means that the request's time was over before the result was known.
	Interrupted Probe = "not awaited"
)

// ServerAlive reports whether the server, or something in front of it, accepts connections.
func (p Probe) ServerAlive() bool { return p == Accepted || p == Identified || p == Unidentified }

// ServerGone reports whether the process that the server's name stands for has ended, as far
// as the probe tells. A server that has too many connections drops new ones too, and a network
// may refuse them.
func (p Probe) ServerGone() bool {
	return p == Refused || p == Unconfirmed || p == Replaced || p == Dropped
}

// Evidence is what is known of an end without a mark.
type Evidence struct {
	Siblings Siblings
	Probe    Probe
}

// Decision is what an end without a mark is taken for.
type Decision string

const (
	Whole    Decision = "whole"
	Doubtful Decision = "doubtful"
)

// NeedsProbe reports whether a new connection would change the decision. That the server has
// announced that it leaves makes no difference: it may end in the middle of an answer.
func (e Evidence) NeedsProbe() bool { return !e.Siblings.MostOpen() }

// Decide decides on the evidence. An end is doubtful only after a probe that shows it, or one
// that there was no time for: connections also end for reasons that concern the network or
// their age.
func (e Evidence) Decide() Decision {
	if e.NeedsProbe() && (e.Probe.ServerGone() || e.Probe == Interrupted || e.Probe == Unidentified && e.Siblings.Ended > 0) {
		return Doubtful
	}
	return Whole
}

// Basis names the evidence that decided.
func (e Evidence) Basis() string {
	switch {
	case e.Siblings.MostOpen():
		return "other connections stayed open"
	case e.Probe != NotProbed:
		return "new connection " + string(e.Probe)
	default:
		return "none"
	}
}
