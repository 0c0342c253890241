package control

import (
	"net"

	"github.com/lentilpick/lentilpick/daemon"
)

// traffic counts the bytes of the daemon's connections. Entry holds those of
// the entry daemon on the same VM, which do not leave the VM.
type traffic struct{ peers, platform, targets, entry, admin daemon.Traffic }

func (t *traffic) groups() map[string]*daemon.Traffic {
	return map[string]*daemon.Traffic{
		"peers": &t.peers, "platform": &t.platform, "targets": &t.targets, "entry": &t.entry, "admin": &t.admin,
	}
}

// accepted returns the group of a connection to the peer API.
func (t *traffic) accepted(c net.Conn) *daemon.Traffic {
	if daemon.SameHost(c) {
		return &t.entry
	}
	return &t.peers
}
