package membership

import (
	"log"
	"log/slog"
	"strings"

	"cairntiller/internal/metrics"
)

var (
	membersJoined      = metrics.New("members joined")
	membersLost        = metrics.New("members lost") // including those that left gracefully
	rejectedVersion    = metrics.New("members of another version")
	rejectedCluster    = metrics.New("members of another cluster")
	rejectedKey        = metrics.New("members with a wrong key")
	rejectedOverBounds = metrics.New("members over the bounds")
	nameConflicts      = metrics.New("members under a name taken")
	joinAttempts       = metrics.New("join attempts to missing members")
	messagesSent       = metrics.New("gossip messages sent")
	messagesReceived   = metrics.New("gossip messages received")
	duplicateMessages  = metrics.New("gossip messages received, duplicate")
	unreadableMessages = metrics.New("messages of members, unreadable")
	messagesDropped    = metrics.New("messages to members dropped")
	directSent         = metrics.New("direct messages sent")
	directReceived     = metrics.New("direct messages received")
	directOverRate     = metrics.New("direct messages rejected over the rate")
)

// libraryLog receives the log of memberlist. Rejections are recognized by their text and counted; all lines are logged
// for debugging.
type libraryLog struct{}

func newLibraryLogger() *log.Logger { return log.New(libraryLog{}, "", 0) }

// Write implements io.Writer; each call is one line.
func (libraryLog) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	switch {
	case strings.Contains(line, "could decrypt"), strings.Contains(line, "ecrypt packet failed"),
		strings.Contains(line, "not encrypted"), strings.Contains(line, "encryption is not configured"):
		rejectedKey.Add()
	case strings.Contains(line, "unacceptable label"):
		rejectedCluster.Add()
	}
	slog.Debug("membership", "line", line)
	return len(p), nil
}
