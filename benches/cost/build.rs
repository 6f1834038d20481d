//! Generates the gRPC service of the pass-through proxy from `inference.proto`.

const PROTO_FOLDER: &str = "../../protocol/inference/proto";

fn main() {
    println!("cargo:rerun-if-changed={PROTO_FOLDER}");
    let file = format!("{PROTO_FOLDER}/inference.proto");
    let files = protox::compile([file], [PROTO_FOLDER]).expect("inference.proto is valid");
    tonic_prost_build::configure()
        .compile_fds(files)
        .expect("the service can be generated");
}
