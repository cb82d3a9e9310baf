//! Generates `crates/peer/src/proto.rs` from `crates/peer/proto/peer.proto`.
//!
//! Run it from the root of the repository after a change to the protocol. The output is committed,
//! so that the build needs no generator.

use std::error::Error;
use std::{fs, path::Path};

const PROTO_DIR: &str = "crates/peer/proto";
const PROTO_FILE: &str = "peer.proto";
const GENERATED_FILE: &str = "sapphiredoor.peer.v1.rs";
const OUTPUT_FILE: &str = "crates/peer/src/proto.rs";

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile([PROTO_FILE], [PROTO_DIR])?;
    let out_dir = std::env::temp_dir().join(format!("sapphiredoor-codegen-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(&out_dir)
        .compile_fds(files)?;
    let code = fs::read_to_string(out_dir.join(GENERATED_FILE))?;
    fs::write(Path::new(OUTPUT_FILE), code)?;
    fs::remove_dir_all(&out_dir)?;
    Ok(())
}
