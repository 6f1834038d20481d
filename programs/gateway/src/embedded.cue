// Default settings of `tansy-gateway --embedded`: two functions on four stand-in workers in the same process.
classes: overlay: {aim: 750ms, deadline: 5s}
functions: {
    echo:    {class: "overlay", lanes: 4, memory: 200MB, load_time: 50ms}
    overlay: {class: "overlay", lanes: 4, memory: 400MB, load_time: 200ms}
}
