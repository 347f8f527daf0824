package overseer

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"tarragonshed.example/authorizer"
	"tarragonshed.example/unit"
)

// maxNumber bounds terms and fencing tokens, so that there is always a higher one.
const maxNumber = 1 << 62

// decode returns the view of the rows when the store's clock was at now, and the keys of those
// that can't be read, as another program may have written them. The row of a group then names
// no primary, as after a restore of the store, and that of a daemon a daemon that nobody reaches:
// changes wait for it until it is pruned. Both are replaced by valid rows. The fencing token of the
// duty is at least that of every group, so that it never goes back.
func decode(rows table, now time.Duration) (view authorizer.View, bad []string) {
	view = authorizer.View{
		Leaderships: make(map[unit.GroupName]authorizer.Leadership),
		Members:     make(map[unit.DaemonID]authorizer.Member),
		Now:         now,
		Epoch:       rows.epoch(),
		Era:         rows.era,
	}
	for _, row := range rows.since(0) {
		if !decodeRow(&view, row) {
			bad = append(bad, row.Key)
		}
	}
	for _, l := range view.Leaderships {
		if l.Fence > view.Duty.Fence {
			view.Duty = authorizer.Duty{Fence: l.Fence} // Nobody holds a duty that can't be read.
		}
	}
	return view, bad
}

// decodeRow decodes a row into the view and reports whether it can be read.
func decodeRow(view *authorizer.View, row Row) bool {
	kind, name := cutKey(row.Key)
	switch kind {
	case epochKey:
		return true
	case eraPrefix:
		n, err := strconv.ParseUint(name, 10, 64)
		var o opening
		if err != nil || json.Unmarshal(row.Value, &o) != nil {
			return false
		}
		if unit.Era(n) >= view.Opened {
			view.Opened, view.UnlistedUntil = unit.Era(n), o.UnlistedUntil
		}
		return true
	case dutyKey:
		var d authorizer.Duty
		if json.Unmarshal(row.Value, &d) != nil || d.Fence > maxNumber {
			return false
		}
		view.Duty = d
		return true
	case groupPrefix:
		l, ok := decodeLeadership(unit.GroupName(name), row.Value)
		view.Leaderships[l.Group] = l
		return ok
	case memberPrefix:
		m, ok := decodeMember(unit.DaemonID(name), row.Value)
		view.Members[m.Daemon] = m
		return ok
	}
	return false
}

// cutKey returns the prefix of the key, or the whole key if it has no name, and the name.
func cutKey(key string) (kind, name string) {
	for _, prefix := range []string{eraPrefix, groupPrefix, memberPrefix} {
		if strings.HasPrefix(key, prefix) {
			return prefix, strings.TrimPrefix(key, prefix)
		}
	}
	return key, ""
}

func decodeLeadership(g unit.GroupName, value []byte) (authorizer.Leadership, bool) {
	var l authorizer.Leadership
	switch {
	case json.Unmarshal(value, &l) != nil, l.Group != g, l.Term > maxNumber, l.Fence > maxNumber,
		l.State != authorizer.Leading && l.State != authorizer.Changing,
		l.State == authorizer.Leading && l.Primary == "":
		return authorizer.Leadership{Group: g, State: authorizer.Changing}, false
	}
	return l, true
}

func decodeMember(d unit.DaemonID, value []byte) (authorizer.Member, bool) {
	var m authorizer.Member
	if json.Unmarshal(value, &m) != nil || m.Daemon != d || m.Listed < 0 || m.Removed < 0 {
		return authorizer.Member{Daemon: d}, false
	}
	m.Speed, m.Bandwidth = plausible(m.Speed, maxSpeed), plausible(m.Bandwidth, maxBandwidth)
	return m, true
}

const (
	// maxSpeed bounds the speed of a VM in processor cores. No VM has so many.
	maxSpeed = 4096
	// maxBandwidth bounds the bandwidth of a VM in Mbit/s. No VM has so much.
	maxBandwidth = 10_000_000
)

// plausible returns the property of a VM, or zero, which means unknown, if no VM can have it.
func plausible(property, limit float64) float64 {
	if property >= 0 && property <= limit {
		return property
	}
	return 0
}
