// Package malformed checks what other programs write, and counts and logs what is rejected.
package malformed

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Bounds of what other programs write. They are far above what the platform's own programs use.
const (
	// NameMax is the longest name of a service, instance, version, node or failure domain, in bytes.
	NameMax = 256
	// portMax is the largest port of TCP.
	portMax = 1<<16 - 1
	// hostMax is the longest host name, in bytes (RFC 1035).
	hostMax = 255
)

// Reasons for rejecting an entry.
var (
	ErrOutOfRange = errors.New("number out of range")
	// ErrOtherKey means that a record names another node than its key.
	ErrOtherKey = errors.New("record of another node")

	errNameTooLong = errors.New("name too long")
	errAddress     = errors.New("no address of the form HOST:PORT")
)

// CheckNames returns an error if a name is too long.
func CheckNames(names ...string) error {
	for _, name := range names {
		if len(name) > NameMax {
			return fmt.Errorf("%w: %d bytes", errNameTooLong, len(name))
		}
	}
	return nil
}

// CheckAddress returns an error if an address is not HOST:PORT with a port that can be connected to.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(host) > hostMax {
		return errAddress
	}
	if number, err := strconv.ParseUint(port, 10, 32); err != nil || number == 0 || number > portMax {
		return fmt.Errorf("%w: port %.8q", errAddress, port)
	}
	return nil
}
