// Settings template of the rollout scenario; ZONE, SIBLINGS and SEATS are replaced.
zones: ["a", "b", "c"]
classes: {
    read: {aim: 500ms, deadline: 2s, late_worth: 0.3, streamed: true}
    book: {aim: 500ms, deadline: 2s, late_worth: 0.3, effect: "keyed", window: 20s}
    post: {aim: 600ms, deadline: 2s, late_worth: 0.3, effect: "unsafe"}
}
#Model: {lanes: 16, memory: 200MB, load_time: 40ms}
functions: {
    "read-0": #Model & {class: "read"}
    "post-0": #Model & {class: "post"}
    "book-0": #Model & {class: "book"}
    "read-1": #Model & {class: "read"}
    "read-2": #Model & {class: "read"}
}
front: {zone: "ZONE", siblings: SIBLINGS, drain: 3s}
worker: {
    connect_timeout: 200ms
    idle_life:       30s
    order_timeout:   3s
    cold_from:       0.1
    warm_up:         10s
    fall_multiple:   1.5
    fall_after:      1s
    drain_grace:     500ms
}
fleet: {name: "roll", seats: [SEATS], within: 2s}
