package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports are allocated below the kernel's ephemeral port range. Otherwise an outgoing connection could take a port between its
// allocation and its use. Each port is allocated at most once per process.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var issuedAddresses sync.Map

// FreeAddress returns a loopback address whose port is free for both TCP and UDP.
func FreeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if _, issued := issuedAddresses.LoadOrStore(address, true); issued {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		conn, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			return address, conn.Close()
		}
	}
	return "", errors.New("no free loopback port found")
}
