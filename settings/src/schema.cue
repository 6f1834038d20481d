// The schema of a front end's settings. A settings file is unified with #Settings.

#Class: {
    aim:         duration & >0s              // latency objective: an answer within this time has full worth
    aim_stretch: number & >=0 | *0           // added to the aim, as a multiple of the call's work
    deadline:    duration & >0s              // time that a client waits, over all attempts
    effect:      *"safe" | "keyed" | "unsafe" // effect of a retried call
    group:       *"all" | "zone" | "cell"    // keyed: the workers among which duplicates are dropped
    window:      duration & >=0s | *0s       // keyed: how long duplicates are dropped
    worth:       number & >=0 | *1
    late_worth:  number & >=0 & <=1 | *0     // share of the worth that remains after the aim
    streamed:    bool | *false
}

#Tenant: {
    quota_per_s: number & >=0.000001
    fraction:    number & >=0 & <=1 | *1
}

#Function: {
    class:      string
    lanes:      int & >=1 & <=4096 | *1      // calls that one instance runs concurrently
    memory:     size & >0B                   // of one instance
    load_time?: duration & >0s               // typical duration of a load
    versions:   [...string] | *["1"]
}

#Worker: {
    name:     string & !=""
    address:  string
    zone:     string | *""                   // default: the front end's zone
    kind:     int & >=0 & <=1000000 | *0
    cell:     int & >=0 | *0
    state:    *"ready" | "draining" | "gone"
    incarnation: int & >=0 | *0              // larger for a later process under the same name
    started?: duration & >=0s                // time since its start; default: long ago
    share:    number & >0 | *1               // size relative to other workers
}

#Ration: {
    free:   number & >=0
    part:   number & >=0
    period: duration & >0s
}

#Front: {
    listen:         string | *"127.0.0.1:8001"
    http:           string | *"127.0.0.1:8000"
    me:             int & >=0 & <=100000 | *0  // index of this front end among its siblings, from 0
    siblings:       int & >=1 & <=100000 | *1  // number of front ends, this one included
    zone:           string | *""               // default: the first of zones
    seed:           int & >=0 | *1
    drain:          duration & >=0s | *10s     // time to finish open calls after SIGTERM
    longest:        duration & >0s | *1h       // upper bound of a call's time
    max_held:       int & >=1 & <=1000000 | *20000
    connections:    int & >=1 & <=1000000 | *20000
    streams:        int & >=1 & <=1000000 | *10000 // per connection
    message:        size & >=1KiB & <=1GiB | *4MiB
    headers:        size & >=1KiB & <=1MiB | *16KiB
    stream_window:  size & >=16KiB & <=16MiB | *64KiB
    preface:        duration & >0s | *5s       // time to send a connection's preface
    max_stay_away:  duration & >=0s | *10s     // longest retry delay that clients respect
    answer_slack:   duration & >=0s | *10ms    // a final answer this long after the call's deadline still counts
    tick:           duration & >0s | *1ms      // minimum time between two batches of events
    list_pushed:    bool | *true               // the worker list is pushed to the front end
    ask_within:     duration & >0s | *10s      // interval at which the worker list is polled if it is not pushed
    class_key:      string | *"tansy-class"    // metadata key or request parameter
    tenant_key:     string | *"tansy-tenant"
    work_key:       string | *"tansy-work-ms"
}

#Workers: {
    connect_timeout: duration & >0s | *250ms
    stream_window:   size & >=16KiB & <=16MiB | *256KiB
    idle_life:       duration & >0s | *10s     // minimum time that an idle instance stays loaded
    order_timeout:   duration & >0s | *10s
    when_absent:     *"load" | "miss"
    tells_warm:      bool | *true
    tells_crowd:     bool | *false
    reports:         *"attached" | "pulled" | "absent"
    may_cancel:      bool | *true
    may_probe:       bool | *true
    may_order:       bool | *true
    max_attempts:    int & >=1 & <=100 | *4
    kind_memory:     [...size] | *[]
    cold_from:       number & >=0.000001 & <=1 | *0.2
    warm_up:         duration & >=0s | *10s
    fall_multiple:   number & >=0.000001 | *2
    fall_after:      duration & >=1us | *2s
    drain_grace:     duration & >=0s | *1s
    ration?:         #Ration
}

#Prices: {
    cross_zone: number & >=0 | *0
    fetch:      number & >=0 | *0
    idle:       number & >=0 | *0
    probe:      number & >=0 | *0
}

#Seat: {
    name:    string & !=""
    address: string                          // at which the other front ends reach it
}

// A fleet of front ends that agree on versions of the settings. Each front end sets these fields for itself.
#Fleet: {
    name:      string & !=""                 // messages from other fleets are rejected
    me:        string | *""                  // this front end's name in the fleet
    listen:    string | *"127.0.0.1:0"       // at which the other front ends reach it
    seats:     [...#Seat] | *[]              // the voters, which store the replicated log
    state:     string | *""                  // file of a voter's replicated log
    within:    duration & >=500ms & <=1h | *2s // longest time for which two front ends may contradict each other
    stay:      duration & >=1s & <=168h | *1h // time for which a disconnected front end keeps using strict fields; changes of them wait for it
    clock_ppm: int & >=0 & <=100000 | *1000  // bound on the rate error of any front end's clock, parts per million
}

#Settings: {
    front:            #Front
    zones:            [...string] | *["local"]
    classes:          {[string]: #Class}
    tenants:          {[string]: #Tenant}
    over_quota_worth: number & >=0 & <=1 | *1
    worth_by_work:    bool | *false
    functions:        {[string]: #Function}
    worker:           #Workers
    prices:           #Prices
    workers:          [...#Worker] | *[]
    fleet?:           #Fleet
}

// The file of functions whose settings a fleet agrees on one by one.
#FunctionList: {
    functions: {[string]: #Function}
}

// The worker list file.
#WorkerList: {
    workers: [...#Worker]
}
