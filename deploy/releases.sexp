; A router of an installation that agrees on restarts, versions and drains; three members vote.
; cairntiller check deploy/releases.sexp reads it; docs/operate/releases.md explains each name.
(fleet
  (name "kandy-1")
  (cluster "kandy")
  (listen "10.0.0.11:7946")
  (join "10.0.0.11:7946" "10.0.0.12:7946" "10.0.0.13:7946")
  (key-file "/etc/cairntiller/fleet.keys"))
(leases
  (voters
    (names "kandy-1" "kandy-2" "kandy-3")))
(control
  (socket "/run/cairntiller/control.sock"))
(releases
  (zone "kandy")
  (version 6)
  (next "/var/lib/cairntiller/next"))
