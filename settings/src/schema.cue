// The schema of a front end's settings. A settings file is unified with #Settings.

#Class: {
    aim:         duration & >0s              // full worth is earned up to here after arrival
    aim_stretch: number & >=0 | *0           // the aim grows by this multiple of the call's own work
    deadline:    duration & >0s              // how long a client waits over all its tries
    effect:      *"safe" | "keyed" | "unsafe" // what a repeat does
    group:       *"all" | "zone" | "cell"    // keyed: the workers that drop repeats
    window:      duration & >=0s | *0s       // keyed: for how long they do
    worth:       number & >=0 | *1
    late_worth:  number & >=0 & <=1 | *0     // share of the worth left after the aim
    streamed:    bool | *false
}

#Tenant: {
    quota_per_s: number & >=0.000001
    fraction:    number & >=0 & <=1 | *1
}

#Function: {
    class:      string
    lanes:      int & >=1 & <=4096 | *1      // calls that one instance runs at a time
    memory:     size & >0B                   // of one instance
    load_time?: duration & >0s               // usually
    versions:   [...string] | *["1"]
}

#Worker: {
    name:     string & !=""
    address:  string
    zone:     string | *""                   // the front end's own, if left out
    kind:     int & >=0 & <=1000000 | *0
    cell:     int & >=0 | *0
    state:    *"ready" | "draining" | "gone"
    incarnation: int & >=0 | *0              // which process of it: a later one is larger
    started?: duration & >=0s                // how long ago; left out: long ago
    share:    number & >0 | *1               // to compare its size with others'
}

#Ration: {
    free:   number & >=0
    part:   number & >=0
    period: duration & >0s
}

#Front: {
    listen:         string | *"127.0.0.1:8001"
    http:           string | *"127.0.0.1:8000"
    me:             int & >=0 & <=100000 | *0  // this front end's number among its siblings
    siblings:       int & >=1 & <=100000 | *1
    zone:           string | *""               // the first of zones, if left out
    seed:           int & >=0 | *1
    drain:          duration & >=0s | *10s     // after SIGTERM, what is held may take so long
    longest:        duration & >0s | *1h       // a call's time, whatever its client says
    max_held:       int & >=1 & <=1000000 | *20000
    connections:    int & >=1 & <=1000000 | *20000
    streams:        int & >=1 & <=1000000 | *10000 // of one connection
    message:        size & >=1KiB & <=1GiB | *4MiB
    headers:        size & >=1KiB & <=1MiB | *16KiB
    stream_window:  size & >=16KiB & <=16MiB | *64KiB
    preface:        duration & >0s | *5s       // time to send a connection's preface
    max_stay_away:  duration & >=0s | *10s     // the longest advice to stay away that clients heed
    answer_slack:   duration & >=0s | *10ms    // a final answer so long after its client's time still counts
    tick:           duration & >0s | *1ms      // least time between two batches of events
    list_pushed:    bool | *true               // the list of workers comes unasked
    ask_within:     duration & >0s | *10s      // where it must be asked for: how often
    class_key:      string | *"tansy-class"    // metadata key or request parameter
    tenant_key:     string | *"tansy-tenant"
    work_key:       string | *"tansy-work-ms"
}

#Workers: {
    connect_timeout: duration & >0s | *250ms
    stream_window:   size & >=16KiB & <=16MiB | *256KiB
    idle_life:       duration & >0s | *10s     // least time that an idle instance stays
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
    address: string                          // where its siblings reach it
}

// Front ends that agree on versions of the settings. What stands here is each front end's own.
#Fleet: {
    name:      string & !=""                 // front ends of another fleet are turned away
    me:        string | *""                  // this front end's name in it
    listen:    string | *"127.0.0.1:0"       // where its siblings reach it
    seats:     [...#Seat] | *[]              // who keeps the agreed log
    state:     string | *""                  // a voter's file
    within:    duration & >=500ms & <=1h | *2s // no two contradict each other for longer
    stay:      duration & >=1s & <=168h | *1h // one cut off goes on with strict fields for so long, and changes of them wait
    clock_ppm: int & >=0 & <=100000 | *1000  // bound on the error of any clock's rate, parts in a million
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

// The file of functions that are agreed on one by one.
#FunctionList: {
    functions: {[string]: #Function}
}

// The file of a list of workers.
#WorkerList: {
    workers: [...#Worker]
}
