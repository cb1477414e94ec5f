package network

import "golang.org/x/sys/unix"

// socketReceived reports whether a socket has neither a pending error nor bytes that its peer has not acknowledged.
func socketReceived(fd int) bool {
	if pending, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && pending != 0 {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	return err != nil || unacknowledged == 0
}
