package control

import (
	"net"

	"github.com/lentilpick/lentilpick/daemon"
)

// traffic counts the bytes of the daemon's connections. The group entry is the
// traffic with the entry daemon on the same VM, which does not leave the VM.
type traffic struct{ peers, platform, targets, entry, admin daemon.Traffic }

func (t *traffic) groups() map[string]*daemon.Traffic {
	return map[string]*daemon.Traffic{
		"peers": &t.peers, "platform": &t.platform, "targets": &t.targets, "entry": &t.entry, "admin": &t.admin,
	}
}

// acceptedGroup returns the group that a connection to the peer API counts towards.
func (t *traffic) acceptedGroup(c net.Conn) *daemon.Traffic {
	if daemon.SameHost(c) {
		return &t.entry
	}
	return &t.peers
}
