//! Compiles the project's own .proto file without an installed `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["proto/fleet.proto"], ["proto"])?;
    let mut config = prost_build::Config::new();
    // Ordered maps: the same message always encodes to the same bytes.
    config.btree_map(["."]);
    config.compile_fds(files)?;
    Ok(())
}
