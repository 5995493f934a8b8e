; Version 7 for five routers, two at a time at the most, one zone's at a time.
; cairntiller fleet plan deploy/plan.sexp shows its waves.
(plan
  (id "version-7")
  (kind version)
  (want 7)
  (was 6)
  (units "kandy-1" "kandy-2" "kandy-3" "colombo-1" "colombo-2")
  (waves "1" "2")
  (watch 60s)
  (budget (most 2) (share 40) (zone 1)))
