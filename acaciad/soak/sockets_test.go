package soak_test

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"acaciapath.example/standin/loopback"

	qt "github.com/frankban/quicktest"
)

// Constants of the kernel's interface sock_diag(7).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	headerBytes      = 16
	requestBytes     = headerBytes + 56
	// inodeOffset is the position of the inode in an answer.
	inodeOffset = headerBytes + 68
)

var errNoSocket = errors.New("no such socket")

// socketInode returns the inode of the socket of a TCP connection from one IPv4 address and port to
// another. Unlike a read of /proc/net/tcp, that takes no longer if the system has many connections.
func socketInode(local, remote string) (uint32, error) {
	from, err := netip.ParseAddrPort(local)
	if err != nil {
		return 0, err
	}
	to, err := netip.ParseAddrPort(remote)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	defer func() { _ = syscall.Close(fd) }() // nothing is lost
	if err := syscall.Sendto(fd, diagRequest(from, to), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, os.NewSyscallError("sendto", err)
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, os.NewSyscallError("recvfrom", err)
	}
	if n < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:]), nil
}

// diagRequest returns a request for the connection between two addresses.
func diagRequest(from, to netip.AddrPort) []byte {
	b := make([]byte, requestBytes)
	binary.NativeEndian.PutUint32(b, requestBytes)
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	r := b[headerBytes:]
	r[0], r[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(r[4:], ^uint32(0)) // all states
	id := r[8:]
	binary.BigEndian.PutUint16(id, from.Port())
	binary.BigEndian.PutUint16(id[2:], to.Port())
	copy(id[4:], from.Addr().AsSlice())
	copy(id[20:], to.Addr().AsSlice())
	binary.NativeEndian.PutUint64(id[40:], ^uint64(0)) // any cookie
	return b
}

func TestSocketInode(t *testing.T) {
	c := qt.New(t)
	listener, err := loopback.Listen()
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	raw, err := client.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var stat syscall.Stat_t
	var statErr error
	c.Assert(raw.Control(func(fd uintptr) { statErr = syscall.Fstat(int(fd), &stat) }), qt.IsNil)
	c.Assert(statErr, qt.IsNil)
	inode, err := socketInode(client.LocalAddr().String(), listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(uint64(inode), qt.Equals, stat.Ino)
	_, err = socketInode("127.0.0.1:1", listener.Addr().String())
	c.Assert(err, qt.ErrorIs, errNoSocket)
}
