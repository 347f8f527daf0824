package gossiper

import (
	"encoding/hex"
	"time"

	"tarragonshed.example/adopter"
	"tarragonshed.example/member"
	"tarragonshed.example/prober"
	"tarragonshed.example/recorder"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/peer"
)

// maxClockLead is how far the time in a message may be ahead of the local clock. A later
// time is ignored, so that one daemon's wrong clock does not advance the clocks of all.
const maxClockLead = time.Minute

func timeOf(t *peer.HybridTime) recorder.Time {
	return recorder.Time{Wall: t.GetWall(), Counter: t.GetCounter()}
}

func wireEntry(e prober.Entry) *peer.Entry {
	return &peer.Entry{
		Id: string(e.ID), Incarnation: uint64(e.Incarnation), Refutation: e.Refutation,
		Status: peer.Status(e.Status), Leaving: e.Leaving, Domain: string(e.Domain),
		PeerAddress: e.PeerAddress, OperatorAddress: e.OperatorAddress, CallerAddress: e.CallerAddress,
		Manifest: uint64(e.Manifest), EarlierManifest: uint64(e.EarlierManifest),
	}
}

// entryOf converts an entry of a message. The result is the zero value, which is invalid,
// if the status is unknown.
func entryOf(e *peer.Entry) prober.Entry {
	if e.GetStatus() < 0 || e.GetStatus() > peer.Status_STATUS_DEAD {
		return prober.Entry{}
	}
	return prober.Entry{
		Daemon: member.Daemon{
			ID: unit.DaemonID(e.GetId()), Incarnation: unit.Incarnation(e.GetIncarnation()), Domain: unit.DomainName(e.GetDomain()),
			State: member.Live, PeerAddress: e.GetPeerAddress(), OperatorAddress: e.GetOperatorAddress(),
			CallerAddress: e.GetCallerAddress(), Manifest: unit.ManifestVersion(e.GetManifest()),
		},
		Refutation: e.GetRefutation(), Status: prober.Status(e.GetStatus()), Leaving: e.GetLeaving(),
		EarlierManifest: unit.ManifestVersion(e.GetEarlierManifest()),
	}
}

// wireRecord converts a record for a message. It returns nil for the zero record and for a
// malformed digest.
func wireRecord(r adopter.Record) *peer.ManifestRecord {
	if r.Version == 0 {
		return nil
	}
	digest, err := hex.DecodeString(r.Digest)
	if err != nil {
		return nil
	}
	return &peer.ManifestRecord{Version: uint64(r.Version), Digest: digest}
}

func recordOf(r *peer.ManifestRecord) adopter.Record {
	return adopter.Record{Version: unit.ManifestVersion(r.GetVersion()), Digest: hex.EncodeToString(r.GetDigest())}
}
