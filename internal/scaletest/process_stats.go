package scaletest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// cpu returns the user and system CPU time of a process, read from the kernel's CPU-time clock of the process.
func cpu(pid int) (time.Duration, error) {
	const sched = 2 // CPUCLOCK_SCHED; a clock id is made of the process id and the clock type, see clock_getcpuclockid(3)
	var at syscall.Timespec
	if _, _, no := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(^pid<<3|sched), uintptr(unsafe.Pointer(&at)), 0); no != 0 {
		return 0, fmt.Errorf("read CPU time of process %d: %w", pid, no)
	}
	return time.Duration(at.Nano()), nil
}

// memory returns the current and peak resident memory of a process, in bytes.
func memory(pid int) (now, peak int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(f[1], 10, 64)
		switch f[0] {
		case "VmRSS:":
			now = kb << 10
		case "VmHWM:":
			peak = kb << 10
		}
	}
	return now, peak, nil
}

// descriptors returns the number of open descriptors of a process.
func descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
