package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Constants of seccomp(2) that golang.org/x/sys does not define.
const (
	seccompSetFilter  = 1
	seccompAllThreads = 1          // SECCOMP_FILTER_FLAG_TSYNC
	seccompAllow      = 0x7fff0000 // SECCOMP_RET_ALLOW
	seccompError      = 0x00050000 // SECCOMP_RET_ERRNO
	seccompNumber     = 0          // offset of the system call's number
	seccompAddress    = 24         // offset of the low half of the second argument; of connect(2): a pointer to the address
	addressShift      = 5          // low bits that are equal in all these pointers
)

// connectErrors are the errors with which connect(2) fails, by four bits of its pointer to the socket address. A seccomp
// filter keeps no state and so can't count calls; these bits differ from call to call.
var connectErrors = map[uint32]syscall.Errno{5: syscall.EADDRNOTAVAIL, 9: syscall.ENOBUFS, 13: syscall.ENETUNREACH}

// execWithFailingCalls replaces this process by a program some of whose system calls fail. args is its path and arguments.
func execWithFailingCalls(args []string) error {
	if len(args) == 0 {
		return errors.New("name a program to run")
	}
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	if err := setFilter(connectFilter()); err != nil {
		return fmt.Errorf("seccomp: %w", err)
	}
	return syscall.Exec(args[0], args, os.Environ())
}

// connectFilter makes a seccomp filter that fails some calls of connect(2) with connectErrors and allows all others.
func connectFilter() []unix.SockFilter {
	const load, shift, and, equal, give = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_ALU | unix.BPF_RSH | unix.BPF_K, unix.BPF_ALU | unix.BPF_AND | unix.BPF_K,
		unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	allow := unix.SockFilter{Code: give, K: seccompAllow}
	filter := []unix.SockFilter{{Code: load, K: seccompNumber}, {Code: equal, K: unix.SYS_CONNECT, Jt: 1}, allow,
		{Code: load, K: seccompAddress}, {Code: shift, K: addressShift}, {Code: and, K: 15}}
	for bits, errno := range connectErrors {
		filter = append(filter, unix.SockFilter{Code: equal, K: bits, Jf: 1}, unix.SockFilter{Code: give, K: seccompError | uint32(errno)})
	}
	return append(filter, allow)
}

// setFilter installs a seccomp filter for all threads of this process.
func setFilter(filter []unix.SockFilter) error {
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, seccompSetFilter, seccompAllThreads, uintptr(unsafe.Pointer(&program)))
	runtime.KeepAlive(filter)
	if errno != 0 {
		return errno
	}
	return nil
}
