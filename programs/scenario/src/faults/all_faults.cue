// Settings of the scenario with every fault: two zones, and a class for each kind of effect.
zones: ["room-a", "room-b"]
classes: {
    read:  {aim: 400ms, deadline: 1500ms, late_worth: 0.3, streamed: true}
    book:  {aim: 400ms, deadline: 1500ms, late_worth: 0.3, effect: "keyed", window: 20s}
    post:  {aim: 600ms, deadline: 2s, late_worth: 0.3, effect: "unsafe"}
}
#Model: {lanes: 16, memory: 300MB, load_time: 80ms}
// Clients call the first functions most often.
functions: {
    "read-0": #Model & {class: "read"}
    "post-0": #Model & {class: "post"}
    "book-0": #Model & {class: "book"}
    "read-1": #Model & {class: "read"}
    "post-1": #Model & {class: "post"}
    "read-2": #Model & {class: "read"}
    "book-1": #Model & {class: "book"}
    "post-2": #Model & {class: "post"}
    "read-3": #Model & {class: "read"}
    "read-4": #Model & {class: "read"}
    "book-2": #Model & {class: "book"}
    "read-5": #Model & {class: "read"}
}
front: {siblings: 2, drain: 2s}
worker: {
    connect_timeout: 200ms
    idle_life:       4s
    order_timeout:   3s
    cold_from:       0.1
    warm_up:         10s
    fall_multiple:   1.5
    fall_after:      1s
    drain_grace:     500ms
    ration:          {free: 10, part: 0.002, period: 5s}
}
