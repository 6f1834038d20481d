//! Builds `tests/fault-shim`, the preloaded library that makes system calls fail: with `rustc` alone, once per version of its source.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The source of the library; its hash is part of the library's file name.
const SOURCE: &str = include_str!("../../fault-shim/src/lib.rs");

/// Why the library can't be built.
#[derive(Debug, thiserror::Error)]
enum BuildError {
    /// The compiler could not be run.
    #[error("{compiler}: {error}")]
    RunCompiler {
        /// The compiler's name or path.
        compiler: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The compiler reported errors.
    #[error("{0}")]
    Compile(String),
    /// The built library could not be renamed.
    #[error(transparent)]
    Move(std::io::Error),
}

/// The path of the library, which is built at the first call.
pub fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| build(&std::env::temp_dir()).expect("the fault shim is built by rustc"))
}

/// Builds the library into a folder, unless it has been built before, and returns its path.
fn build(folder: &Path) -> Result<PathBuf, BuildError> {
    let mut hasher = DefaultHasher::new();
    SOURCE.hash(&mut hasher);
    let library = folder.join(format!("libtansy_fault_shim-{:016x}.so", hasher.finish()));
    if library.exists() {
        return Ok(library);
    }
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-shim/src/lib.rs");
    // Built under a name of this process and then renamed, since other processes may build the library at the same time.
    let temporary = folder.join(format!(
        "libtansy_fault_shim-{}.building.so",
        std::process::id()
    ));
    let compiler = std::env::var("RUSTC").unwrap_or_else(|_| "rustc".to_string());
    let output = Command::new(&compiler)
        .args([
            "--edition",
            "2021",
            "--crate-type",
            "cdylib",
            "--crate-name",
            "tansy_fault_shim",
        ])
        .args(["-C", "opt-level=2", "-C", "panic=abort", "-o"])
        .arg(&temporary)
        .arg(&source)
        .output()
        .map_err(|error| BuildError::RunCompiler { compiler, error })?;
    if !output.status.success() {
        let messages = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(BuildError::Compile(messages));
    }
    std::fs::rename(&temporary, &library).map_err(BuildError::Move)?;
    Ok(library)
}
