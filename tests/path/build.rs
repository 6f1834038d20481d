//! Generates the gRPC client of the tests from `inference.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let dir = "../../protocol/inference/proto";
    println!("cargo:rerun-if-changed={dir}");
    let files = protox::compile([format!("{dir}/inference.proto")], [dir])?;
    tonic_prost_build::configure()
        .build_server(false)
        .compile_fds(files)?;
    Ok(())
}
