; Three routers of one installation that may talk to one another share the probing of nodes.
; cairntiller check deploy/shared.sexp reads it; docs/operate/duties.md explains each name.
(fleet
  (name "kandy-1")
  (cluster "kandy")
  (listen "10.0.0.11:7946")
  (join "10.0.0.11:7946" "10.0.0.12:7946" "10.0.0.13:7946")
  (key-file "/etc/cairntiller/fleet.keys"))
(duties
  (instances 3)
  (box-load 4)
  (take-over 50)
  (probe
    (every 1s)))
