// Settings of the scenario in which a zone restarts cold. Without a ration of load requests, and with long calls and objectives,
// only slow start (rule 4 of the audit) limits the load on workers that have just started.
zones: ["room-a", "room-b"]
classes: {
    read:  {aim: 4s, deadline: 6s, late_worth: 0.3, streamed: true}
    post:  {aim: 4s, deadline: 6s, late_worth: 0.3, effect: "unsafe"}
}
#Model: {lanes: 4, memory: 200MB, load_time: 80ms}
functions: {
    "read-0": #Model & {class: "read"}
    "read-1": #Model & {class: "read"}
    "post-0": #Model & {class: "post"}
    "read-2": #Model & {class: "read"}
}
front: {siblings: 4, drain: 2s}
worker: {
    connect_timeout: 200ms
    idle_life:       10s
    order_timeout:   3s
    cold_from:       0.1
    warm_up:         10s
    fall_multiple:   1.5
    fall_after:      1s
    drain_grace:     500ms
}
