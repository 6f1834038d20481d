//! Compiles the .proto files in `proto/` without an installed `protoc`.

fn main() {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["proto/inference.proto", "proto/orca.proto"], ["proto"])
        .unwrap_or_else(|error| panic!("the files in proto/ do not compile: {error}"));
    let mut config = prost_build::Config::new();
    // Ordered maps make the encoding deterministic.
    config.btree_map(["."]).bytes(["."]);
    config
        .compile_fds(files)
        .unwrap_or_else(|error| panic!("no code for the files in proto/: {error}"));
}
