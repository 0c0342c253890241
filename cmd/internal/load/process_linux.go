package load

import (
	"os/exec"
	"syscall"
)

// endWithParent makes the kernel kill the child when this process exits, so that
// no child survives a SIGKILL of the load generator.
func endWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
