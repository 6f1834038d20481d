//! Compiles `proto/fleet.proto` without an installed `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["proto/fleet.proto"], ["proto"])?;
    let mut config = prost_build::Config::new();
    // Ordered maps make the encoding deterministic.
    config.btree_map(["."]);
    config.compile_fds(files)?;
    Ok(())
}
