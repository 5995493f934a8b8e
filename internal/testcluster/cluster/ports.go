package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are issued below the kernel's range for outgoing connections, which could otherwise take one between its issue and its
// use. Each is issued once.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var issuedAddresses sync.Map

// FreeAddress returns an address of loopback at which nothing listens, for TCP and UDP.
func FreeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, taken := issuedAddresses.LoadOrStore(address, true); taken {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			return address, p.Close()
		}
	}
	return "", errors.New("no free port")
}
