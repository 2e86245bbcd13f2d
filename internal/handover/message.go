package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// A message between the two processes is a length of four bytes (big endian) followed by that many bytes of JSON.

const (
	version         = 1
	maxMessageBytes = 4 << 20 // a list of 10,000 servers takes 2 MB
	maxFiles        = 3       // the listener, the socket for datagrams, and the memory of recent ids
)

// message is a message in either direction. Fields that it does not need are omitted.
type message struct {
	Version int    `json:"version"`
	Name    string `json:"name,omitempty"`  // from the successor: name of the node
	Peers   bool   `json:"peers,omitempty"` // from the predecessor: the second descriptor is for datagrams
	// From the successor: it takes the memory of recent ids. From the predecessor: the last descriptor is that.
	RecentIDs   bool            `json:"ids,omitempty"`
	State       json.RawMessage `json:"state,omitempty"`   // from the predecessor: its state
	Serving     bool            `json:"serving,omitempty"` // from the successor: it serves from now on
	Connections int             `json:"held,omitempty"`    // from the predecessor: number of its clients' connections
}

// write sends m, and with it the descriptors fds.
func write(conn *net.UnixConn, msg *message, fds ...int) error {
	msg.Version = version
	body, err := json.Marshal(msg)
	if err != nil {
		return err
	}
	if len(body) > maxMessageBytes {
		return fmt.Errorf("handover: message of %d bytes exceeds the limit of %d", len(body), maxMessageBytes)
	}
	header := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	// The descriptors are ancillary data of the first bytes, the length.
	if _, _, err := conn.WriteMsgUnix(header, rights, nil); err != nil {
		return err
	}
	_, err = conn.Write(body)
	return err
}

// read receives a message and the descriptors sent with it. The caller has to close the files, also those that are
// returned together with an error.
func read(conn *net.UnixConn) (received *message, files []*os.File, err error) {
	var head [4]byte
	rights := make([]byte, unix.CmsgSpace(4*maxFiles))
	headerBytes, controlBytes, flags, _, err := conn.ReadMsgUnix(head[:], rights)
	if err != nil {
		return nil, nil, err
	}
	if headerBytes == 0 {
		return nil, nil, io.EOF
	}
	if files, err = receivedFiles(rights[:controlBytes]); err != nil {
		return nil, files, err
	}
	if flags&unix.MSG_CTRUNC != 0 {
		return nil, files, errors.New("handover: too many descriptors in a message")
	}
	if _, err := io.ReadFull(conn, head[headerBytes:]); err != nil {
		return nil, files, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessageBytes {
		return nil, files, fmt.Errorf("handover: message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	// This allocates as data arrives, not by the length that the peer claims.
	body, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil {
		return nil, files, err
	}
	received = new(message)
	if err := json.Unmarshal(body, received); err != nil {
		return nil, files, fmt.Errorf("handover: %w", err)
	}
	if received.Version != version {
		return nil, files, fmt.Errorf("handover: version %d, want %d", received.Version, version)
	}
	return received, files, nil
}

// receivedFiles returns the descriptors in the ancillary data of a message, as files.
func receivedFiles(rights []byte) (files []*os.File, err error) {
	if len(rights) == 0 {
		return nil, nil
	}
	parts, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for _, p := range parts {
		fds, err := unix.ParseUnixRights(&p)
		if err != nil {
			continue // ancillary data of another kind, such as credentials
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// sameUser reports whether the process at the other end runs as the same user as this one.
func sameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	raw.Control(func(fd uintptr) {
		cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = err == nil && int(cred.Uid) == os.Getuid()
	})
	return same
}
