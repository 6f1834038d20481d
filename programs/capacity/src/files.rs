//! File access whose errors carry the path.

use crate::error::{CapacityError, Errors};
use std::path::{Path, PathBuf};

pub(crate) fn read_file(path: &Path) -> Result<String, Errors> {
    Ok(std::fs::read_to_string(path).map_err(CapacityError::io(path))?)
}

pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), Errors> {
    Ok(std::fs::write(path, text).map_err(CapacityError::io(path))?)
}

/// The paths of the entries of a folder, sorted; empty if the folder does not exist.
pub(crate) fn sorted_entries(folder: &Path) -> Result<Vec<PathBuf>, Errors> {
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let entries = std::fs::read_dir(folder).map_err(CapacityError::io(folder))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    paths.sort();
    Ok(paths)
}

/// The last component of a path, for messages.
pub(crate) fn file_name(path: &Path) -> String {
    path.file_name().map_or_else(
        || path.display().to_string(),
        |name| name.to_string_lossy().into_owned(),
    )
}
