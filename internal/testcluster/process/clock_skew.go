package process

import (
	"fmt"
	"time"

	"cairntiller/internal/leaseservice"
)

// ClockSkew is how a machine's clock differs from the true one. All processes of one machine have the same.
type ClockSkew struct {
	Rate   float64       // its seconds in a true second
	Offset time.Duration // at the true clock's zero
	JumpAt int64         // us of the true clock at which it jumps, 0 for never
	Jump   time.Duration
}

// TrueClock is the clock by which the test cluster records what happened, in us of Unix time.
func TrueClock() int64 { return leaseservice.Clock() }

// Clock is the machine's own clock, in us of Unix time.
func (k ClockSkew) Clock() int64 {
	now := TrueClock()
	own := int64(float64(now)*k.Rate) + k.Offset.Microseconds()
	if k.JumpAt > 0 && now >= k.JumpAt {
		own += k.Jump.Microseconds()
	}
	return own
}

// String prints the clock in the form that ParseClockSkew reads.
func (k ClockSkew) String() string {
	return fmt.Sprintf("%.6f,%d,%d,%d", k.Rate, k.Offset.Microseconds(), k.JumpAt, k.Jump.Microseconds())
}

// ParseClockSkew reads what ClockSkew.String prints; "" is the true clock.
func ParseClockSkew(text string) (ClockSkew, error) {
	if text == "" {
		return ClockSkew{Rate: 1}, nil
	}
	var k ClockSkew
	var offset, jump int64
	if _, err := fmt.Sscanf(text, "%f,%d,%d,%d", &k.Rate, &offset, &k.JumpAt, &jump); err != nil {
		return k, fmt.Errorf("clock %q: %w", text, err)
	}
	k.Offset = time.Duration(offset) * time.Microsecond
	k.Jump = time.Duration(jump) * time.Microsecond
	return k, nil
}
