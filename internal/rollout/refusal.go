package rollout

import (
	"errors"
	"fmt"
)

// Reasons to refuse an operator's command.
var (
	ErrNotLeading     = errors.New("this instance is not the leader, or has just become it")
	ErrUnknownCommand = errors.New("unknown command type")
	ErrInvalidPlan    = errors.New("invalid plan")
	ErrPlanExists     = errors.New("a plan with this name already exists")
	ErrUnknownPlan    = errors.New("unknown plan")
	ErrPlanState      = errors.New("the plan's state does not allow the command")
	ErrTooManyPlans   = errors.New("too many plans in progress")
	ErrUnitInPlan     = errors.New("the unit belongs to another plan in progress")
	ErrUnknownUnit    = errors.New("unknown unit, or its phase does not allow the command")
)

// Reasons for which a unit may not leave service now. They may cease to apply.
var (
	ErrBudgetUsed      = errors.New("the disruption budget is used up")
	ErrZoneBudgetUsed  = errors.New("the disruption budget of the unit's zone is used up")
	ErrGroupBudgetUsed = errors.New("the disruption budget of the node's group is used up")
	ErrGroupLoad       = errors.New("the group would lose too large a share of its usual load")
	ErrNoPrimary       = errors.New("the group would have no primary")
	ErrTooFewReplicas  = errors.New("the group would have too few caught-up replicas")
	ErrTooFewVoters    = errors.New("too few voters would remember the record")
	ErrUnavailable     = errors.New("the unit is already unavailable")
	ErrTooFewReporting = errors.New("too few of the plan's routers are reporting")
)

// Refusal is the error for an operator's command that is refused, or for a unit that may not leave service. Its text is
// for operators, with names and figures; errors.Is matches it to one of the errors above.
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
