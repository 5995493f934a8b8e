//go:build !debug

package invariant

import "log/slog"

func report(what string) { slog.Error("invariant broken", "what", what) }
