//go:build !debug

package invariant

import "log/slog"

func report(invariant string) { slog.Error("invariant broken", "what", invariant) }
