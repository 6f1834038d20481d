//! The preloaded library that has system calls fail: built with the compiler alone, once.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the library into a folder and gives its path.
pub fn build(folder: &Path) -> Result<PathBuf, String> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fault-shim/src/lib.rs");
    let library = folder.join(format!("libtansy_fault_shim-{}.so", std::process::id()));
    let compiler = std::env::var("RUSTC").unwrap_or_else(|_| "rustc".to_string());
    let output = Command::new(&compiler)
        .args(["--edition", "2021", "--crate-type", "cdylib", "--crate-name", "tansy_fault_shim"])
        .args(["-C", "opt-level=2", "-C", "panic=abort", "-o"])
        .arg(&library)
        .arg(&source)
        .output()
        .map_err(|e| format!("{compiler}: {e}"))?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    Ok(library)
}
