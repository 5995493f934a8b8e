; Five routers of one installation; three of them vote on who holds a lease, so that one task runs at one place at a time.
; cairntiller check deploy/leases.sexp reads it; docs/operate/leases.md explains each name.
(fleet
  (name "kandy-1")
  (cluster "kandy")
  (listen "10.0.0.11:7946")
  (join "10.0.0.11:7946" "10.0.0.12:7946" "10.0.0.13:7946")
  (key-file "/etc/cairntiller/fleet.keys"))
(leases
  (longest 10s)
  (drift 1)
  (voters
    (number 1)
    (names "kandy-1" "kandy-2" "kandy-3"))
  (roll-call
    (every 60s)))
(control
  (socket "/run/cairntiller/control.sock"))
