package load

import (
	"os/exec"
	"syscall"
)

// endWithParent lets the kernel end the program when this process is gone, so
// that nothing is left over after a SIGKILL of the runner.
func endWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
