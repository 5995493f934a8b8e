package routing

import (
	"fmt"
	"testing"
)

// Logs and test failures print these enums. Each value must have a unique name, and an out-of-range value must not
// panic.
func TestEnumsHaveNames(t *testing.T) {
	for name, values := range map[string][]fmt.Stringer{
		"outcomes": {Errored, Answered, Rejected, TimedOut, ConnectFailed, ConnectionLost, Canceled, NotSent, NotPrimary,
			Outcome(99)},
		"idempotency": {Idempotent, IdempotentWithKey, NotIdempotent, Idempotency(99)},
		"consistency": {Eventual, BoundedStaleness, ReadYourWrites, Latest, Write, Consistency(99)},
		"roles":       {RoleUnknown, Primary, Replica, Role(99)},
		"endpoints":   {Up, Draining, Removed, EndpointState(99)},
		"decisions":   {proceed, enqueue, stop, decision(99)},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{}
			for _, value := range values {
				if text := value.String(); text == "" || seen[text] {
					t.Errorf("value %d has the empty or duplicate name %q", len(seen), text)
				} else {
					seen[text] = true
				}
			}
		})
	}
}
