package process

import (
	"fmt"
	"time"

	"cairntiller/internal/leaseservice"
)

// ClockSkew describes how the clock of a machine differs from the true clock. All processes of a machine share it.
type ClockSkew struct {
	Rate   float64       // seconds of the machine's clock per true second
	Offset time.Duration // difference at time 0 of the true clock
	JumpAt int64         // true time of the jump in us, 0 for no jump
	Jump   time.Duration
}

// TrueClock returns the unskewed time in us, by which the harness records steps. On Linux it counts from the boot of the machine,
// so that all processes read the same clock.
func TrueClock() int64 { return leaseservice.Clock() }

// Clock returns the time of the machine's skewed clock in us, derived from TrueClock.
func (k ClockSkew) Clock() int64 {
	now := TrueClock()
	skewed := int64(float64(now)*k.Rate) + k.Offset.Microseconds()
	if k.JumpAt > 0 && now >= k.JumpAt {
		skewed += k.Jump.Microseconds()
	}
	return skewed
}

// String formats the clock skew for ParseClockSkew.
func (k ClockSkew) String() string {
	return fmt.Sprintf("%.6f,%d,%d,%d", k.Rate, k.Offset.Microseconds(), k.JumpAt, k.Jump.Microseconds())
}

// ParseClockSkew parses the format of ClockSkew.String. "" stands for the true clock.
func ParseClockSkew(text string) (ClockSkew, error) {
	if text == "" {
		return ClockSkew{Rate: 1}, nil
	}
	var k ClockSkew
	var offset, jump int64
	if _, err := fmt.Sscanf(text, "%f,%d,%d,%d", &k.Rate, &offset, &k.JumpAt, &jump); err != nil {
		return k, fmt.Errorf("parse clock skew %q: %w", text, err)
	}
	k.Offset = time.Duration(offset) * time.Microsecond
	k.Jump = time.Duration(jump) * time.Microsecond
	return k, nil
}
