//! The preloaded library that has system calls fail: built with the compiler alone, once for each version of its source.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Its source.
const SOURCE: &str = include_str!("../../fault-shim/src/lib.rs");

/// Why the library can't be built.
#[derive(Debug, thiserror::Error)]
enum BuildError {
    /// The compiler can't be run.
    #[error("{compiler}: {error}")]
    RunCompiler {
        /// Its path.
        compiler: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// The compiler refuses the source.
    #[error("{0}")]
    Compile(String),
    /// The library can't be moved to its place.
    #[error(transparent)]
    Move(std::io::Error),
}

/// The library's path; it is built at the first call.
pub fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY
        .get_or_init(|| build(&std::env::temp_dir()).expect("the compiler that built this program"))
}

/// Builds the library into a folder, unless it is there, and gives its path.
fn build(folder: &Path) -> Result<PathBuf, BuildError> {
    let mut hasher = DefaultHasher::new();
    SOURCE.hash(&mut hasher);
    let library = folder.join(format!("libtansy_fault_shim-{:016x}.so", hasher.finish()));
    if library.exists() {
        return Ok(library);
    }
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-shim/src/lib.rs");
    // Other processes may build it at the same time; it appears whole, by a new name.
    let own = folder.join(format!(
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
        .arg(&own)
        .arg(&source)
        .output()
        .map_err(|error| BuildError::RunCompiler { compiler, error })?;
    if !output.status.success() {
        let messages = String::from_utf8_lossy(&output.stderr).into_owned();
        return Err(BuildError::Compile(messages));
    }
    std::fs::rename(&own, &library).map_err(BuildError::Move)?;
    Ok(library)
}
