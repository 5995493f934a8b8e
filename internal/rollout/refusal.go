package rollout

import (
	"errors"
	"fmt"
)

// Why an operator's command is refused.
var (
	ErrNotLeading     = errors.New("this instance does not lead, or has only begun to")
	ErrUnknownCommand = errors.New("there is no such command")
	ErrInvalidPlan    = errors.New("the plan is invalid")
	ErrPlanExists     = errors.New("a plan of that name was started before")
	ErrUnknownPlan    = errors.New("there is no such plan")
	ErrPlanState      = errors.New("the plan's state does not allow it")
	ErrTooManyPlans   = errors.New("too many plans are under way")
	ErrUnitInPlan     = errors.New("the unit belongs to another plan under way")
	ErrUnknownUnit    = errors.New("there is no such unit, or it is not in the phase for it")
)

// Why a unit may not leave service now. It may later.
var (
	ErrBudgetUsed      = errors.New("as many are unavailable as the budget allows")
	ErrZoneBudgetUsed  = errors.New("as many of its zone are unavailable as the budget allows")
	ErrGroupBudgetUsed = errors.New("as many of its group are unavailable as the budget allows")
	ErrGroupWork       = errors.New("its group would be without too much of its usual work")
	ErrNoPrimary       = errors.New("its group would have no primary")
	ErrTooFewReplicas  = errors.New("its group would have too few replicas near the log's end")
	ErrVotersOut       = errors.New("one more voter would be out than a majority can miss")
	ErrUnavailable     = errors.New("it is unavailable already")
	ErrTooFewInSight   = errors.New("too few of the plan's units are in sight")
)

// Refusal is why an operator's command is refused or a unit may not leave service. Its text is for operators, with names
// and figures; errors.Is finds which of the errors above it is.
type Refusal struct {
	cause error
	text  string
}

func refuse(cause error, format string, args ...any) error {
	return &Refusal{cause, fmt.Sprintf(format, args...)}
}

// Error returns the text for operators.
func (r *Refusal) Error() string { return r.text }

// Unwrap returns one of this package's Err values.
func (r *Refusal) Unwrap() error { return r.cause }
