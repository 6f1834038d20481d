// Settings template of the agreement scenario; FLIP, EFFECT, AIM, SIBLINGS and SEATS are replaced.
zones: ["room-a", "room-b"]
classes: {
    read:  {aim: AIM, deadline: 1500ms, late_worth: 0.3, streamed: true}
    book:  {aim: 400ms, deadline: 1500ms, late_worth: 0.3, effect: "keyed", window: 20s}
    post:  {aim: 600ms, deadline: 2s, late_worth: 0.3, effect: "unsafe"}
    // Classes of the observed functions: told apart by their deadlines, and by whether a call is retried after its answer was lost.
    long:  {aim: 1s, deadline: 3s}
    short: {aim: 1s, deadline: 2s}
    maybe: {aim: 1s, deadline: 1500ms, effect: "EFFECT"}
}
#Model: {lanes: 16, memory: 200MB, load_time: 40ms}
functions: {
    "read-0": #Model & {class: "read"}
    "post-0": #Model & {class: "post"}
    "book-0": #Model & {class: "book"}
    "read-1": #Model & {class: "read"}
    "post-1": #Model & {class: "post"}
    "read-2": #Model & {class: "read"}
    flip: #Model & {class: "FLIP"}
    lost: #Model & {class: "maybe"}
}
front: {siblings: SIBLINGS, drain: 2s}
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
fleet: {name: "agree", seats: [SEATS], within: 2s}
