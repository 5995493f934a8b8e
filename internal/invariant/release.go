//go:build !debug

package invariant

import "log/slog"

func report(what string) { slog.Error("assertion broken", "what", what) }
