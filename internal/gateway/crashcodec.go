package gateway

import (
	"basilrudder/internal/crashes"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/wire"
)

// maxPartsSent bounds the parts of one crash that a peer may send.
const maxPartsSent = 32

func encodeCrash(crash crashes.Crash, now monotime.Instant) wire.RelayCrash {
	out := wire.RelayCrash{Request: crash.Request[:], Customer: crash.Customer, Server: crash.Server, AgeMS: ageMS(crash.At, now)}
	for _, part := range crash.Parts {
		out.Parts = append(out.Parts, part[:]...)
	}
	return out
}

func ageMS(at, now monotime.Instant) int { return int(max(0, now.Sub(at)).Milliseconds()) }

func decodeCrash(received wire.RelayCrash, now monotime.Instant) (out crashes.Crash, ok bool) {
	size := len(out.Request)
	if len(received.Request) != size || len(received.Parts)%size != 0 || len(received.Parts) > maxPartsSent*size {
		return out, false
	}
	copy(out.Request[:], received.Request)
	for rest := received.Parts; len(rest) > 0; rest = rest[size:] {
		out.Parts = append(out.Parts, crashes.Fingerprint(rest[:size]))
	}
	out.Customer, out.Server = received.Customer, received.Server
	out.At, ok = decodeEnd(received.AgeMS, now)
	return out, ok
}

// decodeEnd decodes when a server ended, or a run of a suspected request did.
func decodeEnd(ageMS int, now monotime.Instant) (at monotime.Instant, ok bool) {
	if ageMS < 0 || ageMS > int(crashes.Retention.Milliseconds()) {
		return 0, false
	}
	return now.Add(-milliseconds(ageMS)), true
}
